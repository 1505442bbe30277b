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

// Subscriber is notified of the list of backends, its changes, and failures of the watch.
type Subscriber interface {
	UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint)
}

// AddressBook is notified of where backends listen.
type AddressBook interface {
	SetAddress(backend policy.BackendID, address string)
	SetAddresses(backend policy.BackendID, addresses []netip.AddrPort)
	Forget(backend policy.BackendID)
}

// Options are the parts that a client works between. Subscriber, AddressBook and Config are needed.
type Options struct {
	Subscriber  Subscriber
	AddressBook AddressBook
	// Config has the discovery service's address, the settings, and the zones, whose ids are in their order.
	Config *config.Config
	// Metrics counts the backends listed and those draining; nil: they are not counted.
	Metrics *metrics.Registry
	// Refresh makes another source, which hands its lists to Publish, publish its full snapshot. It is called
	// in a goroutine of its own. nil: the client watches the discovery service.
	Refresh func()
}

// Client follows the list of backends.
type Client struct {
	publisher *publisher
	refresh   func()
	// http is a client of its own: the usual one asks the environment for proxies.
	http http.Client

	startWatch sync.Once
	requested  chan struct{} // one token: the watch is asked for
	// index is that of the last list published, since which the watch asks for what is new. Only the watch
	// uses it.
	index int64

	publishing sync.Mutex // one list of another source is published at a time

	mu             sync.Mutex // guards all that follows
	url            string
	addressVersion int // how often the address has changed
	timeouts       timeouts
	cancelPoll     context.CancelFunc // gives up the call that is out; nil before the first
}

// timeouts are how long calls to the discovery service may take, as the engine says.
type timeouts struct {
	watch    time.Duration // how long the service holds a watch that has nothing new
	lateness time.Duration // how much later the answer may be
	snapshot time.Duration // how long a full snapshot may take
}

// New makes a client. It does nothing before LoadSnapshot, Publish or WatchEndpoints.
func New(options Options) *Client {
	return &Client{
		publisher: newPublisher(options),
		refresh:   options.Refresh,
		http: http.Client{Transport: &http.Transport{
			IdleConnTimeout:    time.Minute,
			DisableCompression: true,
			DialContext:        dialIPv4,
		}},
		requested: make(chan struct{}, 1),
		url:       endpointsURL(options.Config.Discovery),
		timeouts:  timeoutsOf(options.Config.Settings),
	}
}

func timeoutsOf(settings policy.Settings) timeouts {
	nanos := settings.DiscoveryTimeouts()
	return timeouts{
		watch:    time.Duration(nanos.Watch),
		lateness: time.Duration(nanos.Lateness),
		snapshot: time.Duration(nanos.Snapshot),
	}
}

func endpointsURL(address string) string { return "http://" + address + "/v1/endpoints" }

// Publish publishes what another source has, in the same way as what the watch receives.
func (c *Client) Publish(kind policy.UpdateKind, endpoints []Endpoint) {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	c.publisher.publish(kind, endpoints)
}

// LoadSnapshot publishes the list that the instance last had, in the service's form. An empty one is left
// out.
func (c *Client) LoadSnapshot(text []byte) error {
	if err := Check(text); err != nil || len(text) == 0 {
		return err
	}
	list, err := decodeList(text)
	if err != nil {
		return err
	}
	c.index = list.Index
	c.publisher.publish(policy.CachedSnapshot, list.Endpoints)
	return nil
}

// SetAddress goes on to another address, where a new watch starts with a full snapshot, and to other
// settings.
func (c *Client) SetAddress(address string, settings policy.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeouts = timeoutsOf(settings)
	url := endpointsURL(address)
	if url == c.url {
		return
	}
	c.url = url
	c.addressVersion++
	if c.cancelPoll != nil {
		c.cancelPoll()
		// The watch may be waiting for the engine to ask again, after a failure at the old address.
		c.WatchEndpoints()
	}
}

// WatchEndpoints asks for the list and its changes from now on. The subscriber is notified of a failure,
// after which the watch waits for the next WatchEndpoints: the engine says when, since many instances that
// fail together must not ask again together. It does not block.
func (c *Client) WatchEndpoints() {
	if c.refresh != nil {
		go c.refresh() // not within the caller's locks
		return
	}
	c.startWatch.Do(func() { go c.watch() })
	select {
	case c.requested <- struct{}{}:
	default: // it is asked for already
	}
}
