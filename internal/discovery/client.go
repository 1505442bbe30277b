package discovery

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// Subscriber is notified of the list of backends, changes to it, and failures of the watch. It is called by one
// goroutine at a time.
type Subscriber interface {
	// UpdateEndpoints receives a list or, for policy.Delta, changes to it. policy.UpdateFailed, without endpoints,
	// says that the watch failed and waits for the next Client.WatchEndpoints.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint)
}

// AddressBook is notified of where backends listen, before the Subscriber is notified of the backends. It is
// called by one goroutine at a time.
type AddressBook interface {
	// SetAddress sets the only address of a backend, as host and port.
	SetAddress(backend policy.BackendID, address string)
	// SetAddresses sets the addresses of a backend that listens at several.
	SetAddresses(backend policy.BackendID, addresses []netip.AddrPort)
	// RemoveBackend removes a backend that is gone.
	RemoveBackend(backend policy.BackendID)
}

// Options configures a Client. Subscriber, AddressBook and Config are required.
type Options struct {
	Subscriber  Subscriber
	AddressBook AddressBook
	// Config supplies the discovery service's address, the settings, and the zones. Zone ids follow the order of
	// the zones.
	Config *config.Config
	// Metrics counts the listed backends and the draining ones. If nil, they are not counted.
	Metrics *metrics.Registry
	// Refresh is set if the lists come from another source, which passes them to Publish: Refresh makes that
	// source publish its full snapshot. It is called in its own goroutine. If nil, the client watches the
	// discovery service.
	Refresh func()
}

// logComponent names this package in the log.
const logComponent = "discovery"

// maxIdleTime is how long a connection to the service may be idle, as it is between two calls after a failure.
const maxIdleTime = time.Minute

// Client tracks the list of backends. Its methods but PublishCached are safe for concurrent use, with one condition:
// Publish may be called only if Options.Refresh is set, since it is not synchronized with the watch.
type Client struct {
	publisher *publisher
	refresh   func()
	// http is not http.DefaultClient, because that one reads proxy settings from the environment.
	http http.Client

	ctx       context.Context // canceled by Close; every call to the service derives from it
	cancel    context.CancelFunc
	running   sync.WaitGroup // the watch, calls of refresh, and calls of Publish
	requested chan struct{}  // holds one token while a watch is requested
	// index is the index of the last list in the discovery service's format; the watch asks for changes since
	// then. PublishCached sets it before the watch starts; after that only the watch uses it.
	index int64

	publishMu sync.Mutex // held by Publish, so that it publishes one list at a time; the watch does not take it

	mu             sync.Mutex // guards all fields below
	url            string
	addressVersion int // number of address changes so far
	timeouts       policy.DiscoveryTimeouts
	cancelPoll     context.CancelFunc // cancels the call in progress; nil before the first call
	watching       bool               // the watch has been started
	closed         bool               // nothing is started any more
}

// New returns a client. It does nothing until PublishCached, Publish or WatchEndpoints is called.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		ctx:       ctx,
		cancel:    cancel,
		publisher: newPublisher(options),
		refresh:   options.Refresh,
		http: http.Client{Transport: &http.Transport{
			IdleConnTimeout:    maxIdleTime,
			DisableCompression: true,
			DialContext:        dialIPv4,
		}},
		requested: make(chan struct{}, 1),
		url:       endpointsURL(options.Config.Discovery),
		timeouts:  options.Config.Settings.DiscoveryTimeouts(),
	}
}

// endpointsURL returns the URL of the list at the service's address.
func endpointsURL(address string) string { return "http://" + address + "/v1/endpoints" }

// Close ends the watch: it cancels the call in progress, and returns when the last update has been published
// and nothing of the client runs any more. From then on Publish and WatchEndpoints have no effect. Close does
// not wait for the discovery service. It must not be called by the Subscriber or the AddressBook, nor with a
// lock held that either of them takes.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
	c.http.CloseIdleConnections() // and cancels the dials that the transport has not given up yet
}

// addRunning adds a call to running, for which Close waits, and reports whether it did: a closed client begins
// none.
func (c *Client) addRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.running.Add(1)
	return true
}

// Publish publishes a list from another source in the same way as a list that the watch receives. It may be called
// only if Options.Refresh is set: without that, the watch runs and may publish at the same time.
func (c *Client) Publish(kind policy.UpdateKind, endpoints []Endpoint) {
	if !c.addRunning() {
		return
	}
	defer c.running.Done()
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	c.publisher.publish(kind, endpoints)
}

// PublishCached publishes the list that the instance last had, given in the discovery service's format. Empty
// text is not published.
func (c *Client) PublishCached(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	list, err := decodeKnown(text)
	if err != nil {
		return err
	}
	c.index = list.Index
	c.publisher.publish(policy.CachedSnapshot, list.Endpoints)
	return nil
}

// Reconfigure switches to another address, where the watch starts with a full snapshot, and to the timeouts of other
// settings.
//
// Known fault: if a poll is in progress, the watch polls again without the request made here. The request stays and
// makes the watch poll again at once after its next failure.
func (c *Client) Reconfigure(address string, settings policy.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeouts = settings.DiscoveryTimeouts()
	url := endpointsURL(address)
	if url == c.url {
		return
	}
	c.url = url
	c.addressVersion++
	if c.cancelPoll != nil {
		c.cancelPoll()
		// The watch may be waiting for the engine to ask again, after a failure at the old address.
		c.requestWatch()
	}
}

// WatchEndpoints requests the list and, from then on, its changes. On a failure the client notifies the
// subscriber, and the watch waits for the next WatchEndpoints: the engine decides when to call it, since many
// instances that fail together must not all ask again at the same time. Only a request that Reconfigure left makes
// it poll earlier. WatchEndpoints does not block.
func (c *Client) WatchEndpoints() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if c.refresh != nil {
		c.running.Go(c.refresh) // without the caller's locks held
		return
	}
	if !c.watching {
		c.watching = true
		c.running.Go(func() { c.watch(c.ctx) })
	}
	c.requestWatch()
}

// requestWatch makes the watch poll if it waits for a request.
func (c *Client) requestWatch() {
	select {
	case c.requested <- struct{}{}:
	default: // already requested
	}
}
