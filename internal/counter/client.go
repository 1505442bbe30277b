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

// ResultHandler receives the results of calls.
type ResultHandler interface {
	// HandleCounterResult receives the result of the oldest call for the key that has no result yet: either the
	// count after the call, in units, or an error of package dispatch. After ErrTimeout, or a NetworkError with
	// the progress Answering, the call's units may have been added; after ErrRejected, or any other NetworkError,
	// they have not. The results for one key are passed one at a time, in the order of the calls.
	HandleCounterResult(key policy.CounterKey, total float64, err error)
}

// Options configures which service a Client calls, and how.
type Options struct {
	// Address is the host and port of the service. It is required.
	Address string
	// ConnectTimeout is the maximum time to establish a connection. When it expires, the calls that wait for the
	// connection end with a NetworkError. 0 means the operating system's limit.
	ConnectTimeout time.Duration
	// Format is the wire format of the service. The zero value is Text.
	Format Format
}

// Client calls the counter service. Its methods are safe for concurrent use.
type Client struct {
	handler        ResultHandler
	connectTimeout time.Duration
	format         Format
	ctx            context.Context // canceled by Close; every dial uses it
	cancel         context.CancelFunc
	running        sync.WaitGroup // counts the goroutines of connections

	mu             sync.Mutex // guards all fields below, and the fields of connections, calls and queues
	address        string
	connections    []*connection // to the address
	oldConnections []*connection // to earlier addresses, with calls outstanding
	queues         map[policy.CounterKey]*queue
	unflushed      []*connection // with calls added since the last flush; may contain duplicates
	stats          resultStats
	closed         bool // no further calls are accepted
}

var _ dispatch.Counter = (*Client)(nil)

// New returns a client that passes results to handler. Connections are opened when they are first needed.
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
// do when a connection is lost, and their results are delivered. After Close, Add, Flush and SetAddress have no
// effect, and a call that is added gets no result. Close does not wait for the service. It must not be called
// by the handler, nor with a lock held that the handler takes.
func (c *Client) Close() {
	for _, conn := range c.stop() {
		conn.close(errClientClosed)
	}
	c.running.Wait()
}

// stop prevents further connections and cancels the dials in progress. It returns the connections to be closed.
func (c *Client) stop() []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancel()
	return slices.Concat(c.connections, c.oldConnections)
}

// SetAddress sends further calls to another address. Outstanding calls may still be answered on a connection to
// the old address until that connection closes.
func (c *Client) SetAddress(address string) {
	for _, idle := range c.replaceConnections(address) {
		idle.close(errAddressChanged)
	}
}

// Add queues a call that adds units to the count with the given key. The service deletes the count at the end
// of its lifetime, which is rounded up to whole milliseconds. Add does not block: Flush sends the call.
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
	if q.connection == nil {
		q.connection = c.pickConnection()
	}
	added := &call{key: key, addedAt: time.Now()}
	q.connection.addCall(added, increment{key: key, units: units, lifetime: lifetime})
	q.calls = append(q.calls, added)
	c.unflushed = append(c.unflushed, q.connection)
}

// Flush sends the calls added since the last flush, and closes connections whose oldest call has been unanswered
// for longer than answerTimeout. The written calls on such a connection end with dispatch.ErrTimeout, and the
// unwritten ones with a NetworkError. Only Flush checks the timeout: if it is not called, these connections stay
// open. Flush may block on network writes.
func (c *Client) Flush() {
	c.mu.Lock()
	unflushed := c.unflushed
	c.unflushed = nil
	timedOut := c.timedOutConnections()
	c.mu.Unlock()
	for _, conn := range unflushed {
		conn.flush()
	}
	for _, conn := range timedOut {
		conn.close(errAnswerTimeout)
	}
}
