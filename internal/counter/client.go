package counter

import (
	"slices"
	"sync"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

const (
	// maxConnections is how many connections are open at most: the service accepts 32 from an instance's
	// address, and for a while after a change of the address the old ones are open beside the new. A call
	// goes to a connection on which nothing waits, so that a slow answer holds up no other key's.
	maxConnections = 16
	// maxSilence is how long a connection may leave its oldest call unanswered before it is closed: a service
	// that has moved never answers on the old connections. It is many times what a crowded service takes.
	maxSilence = time.Second
)

// ResultHandler is given the result of each call: the number's total, or an error of package dispatch, which
// says whether the units may have been added.
type ResultHandler interface {
	HandleCounterResult(key policy.CounterKey, total float64, err error)
}

// Options say which service a client calls, and how.
type Options struct {
	// Address is host and port. It is needed.
	Address string
	// ConnectTimeout is how long a connection may take to come up; 0: as long as the system lets it.
	ConnectTimeout time.Duration
	// Format is how the service is spoken to. The zero value is Text.
	Format Format
}

// Client calls the counter service.
type Client struct {
	handler        ResultHandler
	connectTimeout time.Duration
	format         Format

	mu             sync.Mutex // guards all that follows, and the fields of connections, calls and queues
	address        string
	connections    []*connection // to the address
	oldConnections []*connection // to earlier addresses, with calls outstanding
	queues         map[policy.CounterKey]*queue
	unflushed      []*connection // called since the last flush; one may stand here more than once
	answered       uint64        // calls that ended with a total
	failed         uint64        // calls that ended without one
	failingSince   time.Time     // the first failure since the last total; zero: none
}

var _ dispatch.Counter = (*Client)(nil)

// call is one addition to a number.
type call struct {
	key   policy.CounterKey
	begun time.Time
	ended bool
	total float64
	err   error
}

// queue holds a key's calls whose results are not delivered yet. They are delivered in the order of the
// calls, also where the later ones went to another address.
type queue struct {
	connection *connection // that takes the next call; nil: any
	calls      []*call
	delivering bool // a goroutine is delivering the results of this queue
}

// New makes a client that reports to handler. A connection is opened when it is first needed.
func New(options Options, handler ResultHandler) *Client {
	return &Client{
		handler:        handler,
		connectTimeout: options.ConnectTimeout,
		format:         options.Format,
		address:        options.Address,
		queues:         map[policy.CounterKey]*queue{},
	}
}

// Stats is what became of the calls so far.
type Stats struct {
	Answered uint64        // calls that ended with a total
	Failed   uint64        // calls that ended without one
	Outage   time.Duration // since the first failure after the last total; 0: none
}

// Stats returns what became of the calls so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := Stats{Answered: c.answered, Failed: c.failed}
	if !c.failingSince.IsZero() {
		stats.Outage = time.Since(c.failingSince)
	}
	return stats
}

// SetAddress goes on to another address. Outstanding calls may still be answered at the old one until it
// closes.
func (c *Client) SetAddress(address string) {
	for _, idle := range c.replaceConnections(address) {
		idle.close(errAddressChanged)
	}
}

// replaceConnections lets calls go to the address from now on, and returns the old connections without
// outstanding calls.
func (c *Client) replaceConnections(address string) (idle []*connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return nil
	}
	c.address = address
	for _, conn := range c.connections {
		conn.old = true
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

// Add adds units to a number, which the service forgets when its lifetime is over. It does not block: Flush
// sends the call.
func (c *Client) Add(key policy.CounterKey, units float64, lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[key]
	if q == nil {
		q = &queue{}
		c.queues[key] = q
	}
	added := &call{key: key, begun: time.Now()}
	if q.connection == nil {
		q.connection = c.pickConnection()
	}
	q.connection.addCall(added, units, lifetime)
	q.calls = append(q.calls, added)
	c.unflushed = append(c.unflushed, q.connection)
}

// pickConnection returns the first connection without outstanding calls, or else a new one, or else the one
// with the fewest.
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
	go conn.run()
	return conn
}

// Flush sends the calls added since the last flush, and closes connections that have been silent for too
// long.
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

// silentConnections returns the connections that have left their oldest call unanswered for too long.
func (c *Client) silentConnections() []*connection {
	var silent []*connection
	for _, connections := range [][]*connection{c.connections, c.oldConnections} {
		for _, conn := range connections {
			if len(conn.calls) > 0 && time.Since(conn.calls[0].begun) > maxSilence {
				silent = append(silent, conn)
			}
		}
	}
	return silent
}

// endCall notes the result of a call, and delivers the results that the call's key is due by now.
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

// deliver gives the handler the result of a queue's call, with the lock released meanwhile. Results of the
// queue that come in during that time are left to the goroutine that is here.
func (c *Client) deliver(q *queue, ended *call) {
	q.delivering = true
	defer func() { q.delivering = false }() // after a panic of the handler too
	c.unlocked(func() {
		c.handler.HandleCounterResult(ended.key, ended.total, ended.err)
	})
}

// unlocked calls f with the lock released, and takes the lock again, after a panic too.
func (c *Client) unlocked(f func()) {
	c.mu.Unlock()
	defer c.mu.Lock()
	f()
}

// forget takes a closed connection out of the client and returns its calls, whose results are still to be
// given, and how many of them may have been written.
func (c *Client) forget(closed *connection) (calls []*call, written int) {
	isClosed := func(conn *connection) bool { return conn == closed }
	c.connections = slices.DeleteFunc(c.connections, isClosed)
	c.oldConnections = slices.DeleteFunc(c.oldConnections, isClosed)
	for _, outstanding := range closed.calls {
		if q := c.queues[outstanding.key]; q.connection == closed {
			q.connection = nil
		}
	}
	return closed.calls, len(closed.calls) - closed.unwrittenCalls
}
