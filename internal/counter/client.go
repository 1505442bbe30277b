package counter

import (
	"context"
	"slices"
	"sync"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// logComponent names this package in the log.
const logComponent = "counter"

const (
	// maxConnections is the maximum number of open connections. The service accepts 32 from an instance's
	// address, and for a while after a change of the service's address the old connections are open beside the
	// new ones. A call goes to a connection with no outstanding calls, so that a slow answer does not delay the
	// answers for other keys.
	maxConnections = 16
	// maxSilence is how long a connection may leave its oldest call unanswered before it is closed: a service
	// that has moved never answers on the old connections. It is many times the response time of an overloaded
	// service.
	maxSilence = time.Second
)

// ResultHandler receives the result of each call: the total of the count, or an error of package dispatch,
// which says whether the units may have been added.
type ResultHandler interface {
	HandleCounterResult(key policy.CounterKey, total float64, err error)
}

// Options configures which service a Client calls, and how.
type Options struct {
	// Address is the host and port of the service. It is required.
	Address string
	// ConnectTimeout is how long it may take to establish a connection. 0 means the system's limit.
	ConnectTimeout time.Duration
	// Format is the wire format of the service. The zero value is Text.
	Format Format
}

// Client calls the counter service.
type Client struct {
	handler        ResultHandler
	connectTimeout time.Duration
	format         Format
	ctx            context.Context // canceled by Close; every dial uses it
	cancel         context.CancelFunc
	running        sync.WaitGroup // the goroutines of connections

	mu             sync.Mutex // guards all fields below, and the fields of connections, calls and queues
	address        string
	connections    []*connection // to the address
	oldConnections []*connection // to earlier addresses, with calls outstanding
	queues         map[policy.CounterKey]*queue
	unflushed      []*connection // with calls added since the last flush; may contain duplicates
	answered       uint64        // number of calls that ended with a total
	failed         uint64        // number of calls that ended without a total
	failingSince   time.Time     // time of the first failure since the last total; zero if none
	closed         bool          // no further calls are accepted
}

var _ dispatch.Counter = (*Client)(nil)

// call is one addition to a count.
type call struct {
	key     policy.CounterKey
	addedAt time.Time
	ended   bool
	// total or err is the result of a call that has ended.
	total float64
	err   error
}

// queue holds a key's calls whose results are not delivered yet. Results are delivered in the order of the
// calls, even if later calls went to another address.
type queue struct {
	connection *connection // takes the next call; nil means any connection
	calls      []*call
	delivering bool // a goroutine is delivering the results of this queue
}

// New returns a client that reports to handler. Connections are opened when they are first needed.
func New(options Options, handler ResultHandler) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		ctx:            ctx,
		cancel:         cancel,
		handler:        handler,
		connectTimeout: options.ConnectTimeout,
		format:         options.Format,
		address:        options.Address,
		queues:         map[policy.CounterKey]*queue{},
	}
}

// Close closes all connections, and returns when their goroutines have ended. Outstanding calls end as they
// do when a connection is lost, and their results are delivered. From then on Add, Flush and SetAddress have
// no effect; a call that is added has no result. Close does not wait for the service. It must not be called
// by the handler, nor with a lock held that the handler takes.
func (c *Client) Close() {
	for _, conn := range c.stop() {
		conn.close(errClientClosed)
	}
	c.running.Wait()
}

// stop prevents further connections and ends the dials in progress. It returns the connections to be closed.
func (c *Client) stop() []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	return slices.Concat(c.connections, c.oldConnections)
}

// Stats counts the results of the calls so far.
type Stats struct {
	Answered uint64        // number of calls that ended with a total
	Failed   uint64        // number of calls that ended without a total
	Outage   time.Duration // time since the first failure after the last total; 0 if none
}

// Stats returns counts of the results of the calls so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := Stats{Answered: c.answered, Failed: c.failed}
	if !c.failingSince.IsZero() {
		stats.Outage = time.Since(c.failingSince)
	}
	return stats
}

// SetAddress switches to another address. Outstanding calls may still be answered on a connection to the old
// address until that closes.
func (c *Client) SetAddress(address string) {
	for _, idle := range c.replaceConnections(address) {
		idle.close(errAddressChanged)
	}
}

// replaceConnections sends further calls to the address, and returns the old connections that have no
// outstanding calls.
func (c *Client) replaceConnections(address string) (idle []*connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return nil
	}
	c.address = address
	for _, conn := range c.connections {
		conn.addressChanged = true
		if len(conn.calls) == 0 {
			idle = append(idle, conn)
		}
	}
	c.oldConnections = append(c.oldConnections, c.connections...)
	c.connections = nil
	for _, q := range c.queues {
		q.connection = nil
	}
	return idle
}

// Add adds units to the count with the given key, which the service deletes when its lifetime is over. Add
// does not block: Flush sends the call.
func (c *Client) Add(key policy.CounterKey, units float64, lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	q := c.queues[key]
	if q == nil {
		q = &queue{}
		c.queues[key] = q
	}
	added := &call{key: key, addedAt: time.Now()}
	if q.connection == nil {
		q.connection = c.pickConnection()
	}
	q.connection.addCall(added, units, lifetime)
	q.calls = append(q.calls, added)
	c.unflushed = append(c.unflushed, q.connection)
}

// pickConnection returns the first connection without outstanding calls. If there is none, it returns a new
// connection or, once maxConnections are open, the one with the fewest outstanding calls. The caller holds
// the lock.
func (c *Client) pickConnection() *connection {
	var leastBusy *connection
	for _, conn := range c.connections {
		if len(conn.calls) == 0 {
			return conn
		}
		if leastBusy == nil || len(conn.calls) < len(leastBusy.calls) {
			leastBusy = conn
		}
	}
	if len(c.connections) >= maxConnections {
		return leastBusy
	}
	conn := &connection{client: c, address: c.address}
	c.connections = append(c.connections, conn)
	c.running.Go(conn.run)
	return conn
}

// Flush sends the calls added since the last flush, and closes connections that have been silent for longer
// than maxSilence.
func (c *Client) Flush() {
	c.mu.Lock()
	unflushed := c.unflushed
	c.unflushed = nil
	silent := c.silentConnections()
	c.mu.Unlock()
	for _, conn := range unflushed {
		conn.flush()
	}
	for _, conn := range silent {
		conn.close(errSilent)
	}
}

// silentConnections returns the connections whose oldest call has been unanswered for longer than maxSilence.
// The caller holds the lock.
func (c *Client) silentConnections() []*connection {
	var silent []*connection
	for _, connections := range [][]*connection{c.connections, c.oldConnections} {
		for _, conn := range connections {
			if len(conn.calls) > 0 && time.Since(conn.calls[0].addedAt) > maxSilence {
				silent = append(silent, conn)
			}
		}
	}
	return silent
}

// endCall records the result of a call, and delivers the results that are now due for the call's key.
func (c *Client) endCall(ended *call, total float64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended.ended = true
	ended.total = total
	ended.err = err
	c.countResult(err)
	q := c.queues[ended.key]
	for !q.delivering && len(q.calls) > 0 && q.calls[0].ended {
		first := q.calls[0]
		q.calls = q.calls[1:]
		c.deliver(q, first)
	}
	if len(q.calls) == 0 && !q.delivering && c.queues[ended.key] == q {
		delete(c.queues, ended.key)
	}
}

// countResult counts a call that ended. The caller holds the lock.
func (c *Client) countResult(err error) {
	if err == nil {
		c.answered++
		c.failingSince = time.Time{}
		return
	}
	c.failed++
	if c.failingSince.IsZero() {
		c.failingSince = time.Now()
	}
}

// deliver passes the result of a queue's call to the handler. The caller holds the lock, which is released
// meanwhile. Results of the queue that arrive then are delivered later by this same goroutine.
func (c *Client) deliver(q *queue, ended *call) {
	q.delivering = true
	defer func() { q.delivering = false }() // also after a panic of the handler
	c.unlocked(func() {
		c.handler.HandleCounterResult(ended.key, ended.total, ended.err)
	})
}

// unlocked calls f with the lock released, and takes the lock again afterwards, also after a panic.
func (c *Client) unlocked(f func()) {
	c.mu.Unlock()
	defer c.mu.Lock()
	f()
}

// forget removes a closed connection from the client. It returns the connection's calls, whose results must
// still be delivered: those that may have been written, and those that have not. The caller holds the lock.
func (c *Client) forget(closed *connection) (written, unwritten []*call) {
	isClosed := func(conn *connection) bool { return conn == closed }
	c.connections = slices.DeleteFunc(c.connections, isClosed)
	c.oldConnections = slices.DeleteFunc(c.oldConnections, isClosed)
	for _, outstanding := range closed.calls {
		if q := c.queues[outstanding.key]; q.connection == closed {
			q.connection = nil
		}
	}
	firstUnwritten := len(closed.calls) - closed.unwrittenCalls
	return closed.calls[:firstUnwritten], closed.calls[firstUnwritten:]
}
