// Package discovery follows the list of backends. It owns the watch and turns names into the ids that the
// decisions know; it tells the backends' connections of addresses before anything may be sent there. It must
// never decide what a change means, and keeps the last list through an outage.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// mostBytes bounds a list: some ten thousand lines.
const mostBytes = 4 << 20

// Subscriber is told the list.
type Subscriber interface {
	UpdateEndpoints(how policy.UpdateKind, list []policy.Endpoint)
}

// AddressBook is told where a backend listens.
type AddressBook interface {
	SetAddress(b policy.BackendID, address string)
	SetAddresses(b policy.BackendID, all []netip.AddrPort)
	Forget(b policy.BackendID)
}

// Client follows the list.
type Client struct {
	told      Subscriber
	addresses AddressBook
	http      http.Client // of its own: the usual one asks the environment for proxies
	zones     words[policy.ZoneID]
	ids       map[string]policy.BackendID
	names     map[policy.BackendID]string
	listed    map[policy.BackendID]bool
	draining  map[policy.BackendID]bool // of the listed: sent nothing new
	metrics   *metrics.Registry
	begin     sync.Once
	wanted    chan struct{}
	index     int64
	mu        sync.Mutex
	base      string
	// How long a watch waits at discovery, how late its answer may be, and how long a whole list may take: as the
	// decisions say.
	wait, late, whole time.Duration
	moves             int                // how often the address changed
	turn              sync.Mutex         // one list is told at a time, where another source tells them
	other             func()             // has the other source tell its whole list; nil: the watch is the source
	give              context.CancelFunc // gives the call that is out up
}

// words numbers names: those of the settings first, others as they come.
type words[T ~uint8 | ~uint16] map[string]T

func (w words[T]) id(name string) T {
	id, ok := w[name]
	if !ok {
		id = T(len(w))
		w[name] = id
	}
	return id
}

// errRefused says that discovery has no room for the call.
var errRefused = errors.New("refused")

// ipv4 dials over IPv4 alone: a name such as localhost may stand for ::1 too, and the fleet's hosts have IPv4 only.
var ipv4 = tcp4{}

type tcp4 struct{ net.Dialer }

// DialContext gives the dial up with the call's own time. Guards against descriptors without end in an outage: the
// transport dials on, for calls to come, after the call that wanted the connection was given up, until the system
// gives up too, which takes minutes.
func (d tcp4) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	if within, ok := ctx.Value(dialWithin{}).(time.Duration); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, within)
		defer cancel()
	}
	return d.Dialer.DialContext(ctx, "tcp4", address)
}

// dialWithin is the key under which a call's context says how long a dial for it may take; of all that the context
// says the transport passes on its values alone.
type dialWithin struct{}

// Options are the parts that a client works between. Subscriber, AddressBook and Config are needed.
type Options struct {
	Subscriber  Subscriber
	AddressBook AddressBook
	Config      *config.Config
	// Metrics counts the backends listed and those draining; nil: they are not counted.
	Metrics *metrics.Registry
	// Refresh makes another source, which hands its lists to Publish, publish its full snapshot. It is called in a
	// goroutine of its own. nil: the client watches the discovery service.
	Refresh func()
}

// New makes a client. It does nothing before LoadSnapshot, Publish or WatchEndpoints.
func New(options Options) *Client {
	s := options.Config
	c := &Client{told: options.Subscriber, addresses: options.AddressBook, metrics: options.Metrics,
		other: options.Refresh, base: baseOf(s.Discovery),
		wanted: make(chan struct{}, 1),
		http: http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute, DisableCompression: true,
			DialContext: ipv4.DialContext}},
		zones: words[policy.ZoneID]{},
		ids:   map[string]policy.BackendID{}, names: map[policy.BackendID]string{},
		listed: map[policy.BackendID]bool{}, draining: map[policy.BackendID]bool{}}
	c.retune(s.Settings)
	for _, z := range s.Zones {
		c.zones.id(z)
	}
	return c
}

func (c *Client) retune(terms policy.Settings) {
	timeouts := terms.DiscoveryTimeouts()
	c.wait = time.Duration(timeouts.Watch)
	c.late = time.Duration(timeouts.Lateness)
	c.whole = time.Duration(timeouts.Snapshot)
}

// Entry is a backend as a list has it.
type Entry struct {
	Name      string           `json:"name"`
	Address   string           `json:"address"`
	Addresses []netip.AddrPort `json:"-"` // another source's: all addresses, where it is not one of IPv4 alone
	Zone      string           `json:"zone"`
	Group     uint16           `json:"group"`
	Status    string           `json:"status"` // up, draining or removed
	Weight    float64          `json:"weight"`
	SinceMs   float64          `json:"since_ms"`
}

// list is discovery's form of a list.
type list struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Publish tells what another source has: in the same form and by the same way as the watch's.
func (c *Client) Publish(how policy.UpdateKind, entries []Entry) {
	c.turn.Lock()
	defer c.turn.Unlock()
	c.tell(how, &list{Endpoints: entries})
}

// Check says what is wrong with a list in discovery's form, such as the one in the configuration.
func Check(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	if _, err := parse(text); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// LoadSnapshot tells the list that the front door last had.
func (c *Client) LoadSnapshot(text []byte) error {
	if err := Check(text); err != nil || len(text) == 0 {
		return err
	}
	l, err := parse(text)
	if err == nil {
		c.tell(policy.CachedSnapshot, l)
	}
	return err
}

func parse(text []byte) (*list, error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		// Of two lines for one backend in a whole list nobody can tell which holds; the last good list stands. Changes may
		// name one twice: they hold in their order.
		if l.Snapshot && named[e.Name] {
			return nil, fmt.Errorf("entry with name %q stands twice in a whole list", e.Name)
		}
		named[e.Name] = true
		if _, _, err := net.SplitHostPort(e.Address); e.Name == "" || err != nil && e.Status != "removed" {
			return nil, fmt.Errorf("entry with name %q and address %q", e.Name, e.Address)
		}
	}
	return &l, nil
}

var stages = map[string]policy.EndpointState{"up": policy.EndpointReady, "draining": policy.EndpointDraining, "removed": policy.EndpointGone}

func (c *Client) tell(how policy.UpdateKind, l *list) {
	lines, listed := make([]policy.Endpoint, len(l.Endpoints)), map[policy.BackendID]bool{}
	for n, e := range l.Endpoints {
		stage, ok := stages[e.Status]
		if !ok {
			logging.For("discovery").WithField(logging.Backend, e.Name).WithField("status", e.Status).Warn("unknown status, taken for draining")
		}
		lines[n] = policy.Endpoint{Backend: c.id(e.Name), Zone: c.zones.id(e.Zone),
			Group: policy.GroupID(e.Group), Capacity: e.Weight, State: stage,
			StartedAt: int64(math.Round(e.SinceMs*1e3)) * 1e3}
		if stage == policy.EndpointGone {
			c.forget(lines[n].Backend)
		} else {
			if len(e.Addresses) > 0 {
				c.addresses.SetAddresses(lines[n].Backend, e.Addresses)
			} else {
				c.addresses.SetAddress(lines[n].Backend, e.Address)
			}
			listed[lines[n].Backend] = true
		}
	}
	if how != policy.Delta {
		for b := range c.listed {
			if !listed[b] {
				c.forget(b)
			}
		}
	}
	maps.Copy(c.listed, listed)
	for _, e := range lines {
		if e.State == policy.EndpointGone || !c.listed[e.Backend] {
			delete(c.draining, e.Backend)
		} else {
			c.draining[e.Backend] = e.State != policy.EndpointReady
		}
	}
	disabled := 0
	for b := range c.listed {
		if c.draining[b] {
			disabled++
		}
	}
	c.metrics.SetEndpoints(len(c.listed), disabled)
	c.index = l.Index
	c.told.UpdateEndpoints(how, lines)
}

// forget drops all that is kept of a backend that is gone: new ones come under new names without end.
func (c *Client) forget(b policy.BackendID) {
	c.addresses.Forget(b)
	delete(c.listed, b)
	delete(c.draining, b)
	delete(c.ids, c.names[b])
	delete(c.names, b)
}

// id is the same at every front door, which the decisions need: a hash of the name. Where two names meet, the
// later one takes the next free number: front doors may then differ, which costs evenness alone.
func (c *Client) id(name string) policy.BackendID {
	if id, ok := c.ids[name]; ok {
		return id
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	id := policy.BackendID(h.Sum32())
	for c.names[id] != "" {
		id++
	}
	c.ids[name], c.names[id] = id, name
	return id
}

// SetAddress goes on to another address, where a new watch starts with the whole list, and to other terms.
func (c *Client) SetAddress(address string, terms policy.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retune(terms)
	if base := baseOf(address); base != c.base {
		c.base = base
		c.moves++
		if c.give != nil {
			c.give()
			c.WatchEndpoints() // it may be waiting for the decisions to ask again, after a failure at the old address
		}
	}
}

func baseOf(address string) string { return "http://" + address + "/v1/endpoints" }

// WatchEndpoints asks for the list and its changes from now on. A failure is told, and the decisions say when to ask
// again: many doors that fail together must not ask together.
func (c *Client) WatchEndpoints() {
	if c.other != nil {
		go c.other() // not within the caller's locks
		return
	}
	c.begin.Do(func() { go c.run() })
	select {
	case c.wanted <- struct{}{}:
	default:
	}
}

func (c *Client) run() {
	whole, failed, moves := len(c.listed) == 0, false, 0 // with a list, however old, what is new since is enough
	for {
		<-c.wanted
		for {
			err := c.call(&whole, &moves)
			c.mu.Lock()
			moved := c.moves != moves
			c.mu.Unlock()
			if moved { // what the call ended with is of the old address
				c.http.CloseIdleConnections()
				continue
			}
			if (err != nil) != failed { // once an outage
				failed = err != nil
				entry := logging.For("discovery").WithField("failing", failed)
				if err != nil {
					entry = entry.WithError(err)
				}
				entry.Warn("watch")
			}
			if err == nil {
				continue
			}
			// The watch is broken, and what the lost answer told with it. A refusal tells that the call was not
			// taken up: the version that the door has stands, and what is new since is less than the whole list.
			whole = whole || !errors.Is(err, errRefused)
			c.told.UpdateEndpoints(policy.UpdateFailed, nil)
			break
		}
	}
}

// call makes one call, for the whole list or for what is new since the last, and tells what came. moves is the
// address's number at the last call: at a new address the version of the old one means nothing.
func (c *Client) call(whole *bool, moves *int) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("panic: %v", x)
		}
	}()
	c.mu.Lock()
	url, within := c.base, c.whole
	if *whole = *whole || *moves != c.moves; !*whole {
		url, within = fmt.Sprintf("%s?index=%d&wait=%d", c.base, c.index, c.wait.Milliseconds()), c.wait+c.late
	}
	*moves = c.moves
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), dialWithin{}, min(within, c.whole)), within)
	c.give = cancel
	c.mu.Unlock()
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, mostBytes))
	if err != nil {
		return err
	}
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", errRefused, answer.Status)
	default:
		return errors.New(answer.Status)
	}
	l, err := parse(text)
	if err != nil {
		return err
	}
	*whole = false
	how := policy.Delta
	if l.Snapshot {
		how = policy.FullSnapshot
	}
	c.tell(how, l)
	return nil
}
