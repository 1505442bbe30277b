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

// Subscriber is notified of the list of backends, of changes to the list, and of failures of the watch. Only one
// goroutine at a time calls it.
type Subscriber interface {
	// UpdateEndpoints receives a list or, for policy.Delta, changes to the last list. The kind policy.UpdateFailed,
	// without endpoints, means that the watch has failed and waits for the next Client.WatchEndpoints.
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint)
}

// AddressBook receives the addresses of backends, before the Subscriber is notified of the backends. Only one
// goroutine at a time calls it.
type AddressBook interface {
	// SetAddress sets the only address of a backend, as host and port.
	SetAddress(backend policy.BackendID, address string)
	// SetAddresses sets the addresses of a backend that has several.
	SetAddresses(backend policy.BackendID, addresses []netip.AddrPort)
	// ResetConnections gives up the connections to a backend that was started anew at the same address.
	ResetConnections(backend policy.BackendID)
	// RemoveBackend removes a backend that is no longer listed.
	RemoveBackend(backend policy.BackendID)
}

// Options configures a Client. Subscriber, AddressBook and Config are required.
type Options struct {
	Subscriber  Subscriber
	AddressBook AddressBook
	// Config supplies the discovery service's address, the settings, and the zones. Zone ids follow the order of
	// the zones.
	Config *config.Config
	// Metrics receives the numbers of listed and of draining backends. If nil, they are not counted.
	Metrics *metrics.Registry
	// Refresh is set if the lists come from a source other than the discovery service, which passes them to Publish.
	// Refresh makes that source publish a full snapshot, and is called in its own goroutine. If nil, the client
	// watches the discovery service.
	Refresh func()
}

// logComponent names this package in the log.
const logComponent = "discovery"

// maxIdleTime is the maximum idle time of a connection to the service. Between two calls, a connection is idle only
// after a failure.
const maxIdleTime = time.Minute

// Client tracks the list of backends. Its methods except PublishCached are safe for concurrent use, with one
// condition: Publish may be called only if Options.Refresh is set, since it is not synchronized with the watch.
type Client struct {
	publisher *publisher
	refresh   func()
	// http is not http.DefaultClient, which reads proxy settings from the environment.
	http http.Client

	ctx            context.Context // canceled by Close; every call to the service derives from it
	cancel         context.CancelFunc
	running        sync.WaitGroup // the watch, calls of refresh, and calls of Publish
	watchRequested chan struct{}  // holds one token while a watch is requested
	// index is the index of the last list in the discovery service's format; the watch requests the changes since
	// that index. PublishCached sets it before the watch starts; after that only the watch uses it.
	index int64

	publishMu sync.Mutex // held by Publish, which publishes one list at a time; not used by the watch

	mu             sync.Mutex // guards all fields below
	url            string
	addressVersion int // number of address changes so far
	timeouts       policy.DiscoveryTimeouts
	cancelPoll     context.CancelFunc // cancels the call in progress; nil before the first call
	watchStarted   bool               // the watch has been started
	closed         bool               // no watch, refresh or publication may start
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
		watchRequested: make(chan struct{}, 1),
		url:            endpointsURL(options.Config.Discovery),
		timeouts:       options.Config.Settings.DiscoveryTimeouts(),
	}
}

// endpointsURL returns the URL of the list at the service's address.
func endpointsURL(address string) string { return "http://" + address + "/v1/endpoints" }

// Close ends the watch: it cancels the call in progress, and returns when the last update has been published
// and all goroutines of the client have ended. After Close, Publish and WatchEndpoints have no effect. Close
// does not wait for the discovery service. It must not be called by the Subscriber or the AddressBook, nor with
// a lock held that either of them takes.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
	c.http.CloseIdleConnections() // also cancels the dials that the transport still continues
}

// addRunning adds a call of Publish to running, for which Close waits. It returns false, without adding the call,
// if the client is closed.
func (c *Client) addRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.running.Add(1)
	return true
}

// Publish publishes a list from a source other than the discovery service, in the same way as a list that the watch
// receives. It may be called only if Options.Refresh is set, because otherwise the watch runs and may publish at the
// same time.
func (c *Client) Publish(kind policy.UpdateKind, endpoints []Endpoint) {
	if !c.addRunning() {
		return
	}
	defer c.running.Done()
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	c.publisher.publish(kind, endpoints)
}

// PublishCached publishes the last known list from the configuration, in the discovery service's format. Empty text is
// not published.
func (c *Client) PublishCached(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	list, err := decodeCachedList(text)
	if err != nil {
		return err
	}
	c.index = list.Index
	c.publisher.publish(policy.CachedSnapshot, list.Endpoints)
	return nil
}

// Reconfigure switches to another address, where the watch starts with a full snapshot, and to the timeouts of the
// given settings.
//
// Known fault: if a poll is in progress, the watch polls the new address without consuming the watch request that
// Reconfigure makes. The request remains, and makes the watch poll again immediately after its next failure.
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
		// After a failure at the old address, the watch may be waiting for the engine's next request.
		c.requestWatch()
	}
}

// WatchEndpoints requests the list and, from then on, its changes. After a failure the client notifies the
// subscriber, and the watch waits for the next WatchEndpoints. The engine decides when to call it, since many
// instances whose watches fail together must not all poll again at the same time. Only a remaining request from
// Reconfigure makes the watch poll earlier. WatchEndpoints does not block.
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
	if !c.watchStarted {
		c.watchStarted = true
		c.running.Go(func() { c.watch(c.ctx) })
	}
	c.requestWatch()
}

// requestWatch makes the watch poll if it waits for a request.
func (c *Client) requestWatch() {
	select {
	case c.watchRequested <- struct{}{}:
	default: // already requested
	}
}
