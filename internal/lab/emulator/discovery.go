package emulator

import (
	"net"
	"net/http"
	"sync"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// headerTimeout bounds the reading of a request's header, so that a stalled client does not hold a connection
// for ever.
const headerTimeout = 5 * time.Second

// discovery stands in for discovery: it serves the endpoint list over HTTP, to be polled or watched. Each
// instance has its own address there, so that it is known what was delivered to which instance.
type discovery struct {
	emulator  *Emulator
	servers   []*http.Server // one per instance, like addresses
	addresses []string
	updates   *updateQueues // nil unless changes go out by DNS

	mu         sync.Mutex // guards what follows
	index      int64
	endpoints  []endpoint    // of each backend
	changed    chan struct{} // closed at the next change
	extraDelay time.Duration // of the faults that are active, before a change is applied
	stale      int           // how many faults of the kind are active; likewise below
	refusing   int
	withheld   []func() // changes to apply when the list is no longer stale
}

// endpoint is a backend as the list describes it.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs float64 `json:"since_ms"`

	backend   int
	startedAt monotime.Instant // since the run's start; zero: long ago
	state     policy.EndpointState
	version   int64 // the list's index at its latest change
}

// discoveryState is the body of an answer: a full snapshot, or a delta.
type endpointList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// statusNames are the names of the states in the list.
var statusNames = map[policy.EndpointState]string{
	policy.EndpointReady:    "up",
	policy.EndpointDraining: "draining",
	policy.EndpointGone:     "removed",
}

func newDiscovery(e *Emulator) (*discovery, error) {
	d := &discovery{emulator: e, index: 1, changed: make(chan struct{})}
	for n, b := range e.backends {
		d.endpoints = append(d.endpoints, endpoint{
			Name:    scenario.BackendName(n),
			Address: b.listener.address,
			Zone:    scenario.ZoneName(n % e.scenario.Backends.Zones),
			Type:    "m1",
			Group:   n % e.scenario.Backends.Groups,
			Status:  statusNames[policy.EndpointReady],
			Weight:  1,
			backend: n,
			state:   policy.EndpointReady,
			version: 1,
		})
	}
	if e.scenario.Discovery.Source == scenario.SourceDNS {
		d.updates = newUpdateQueues(e.scenario.Instances.Count)
	}
	for instance := range e.scenario.Instances.Count {
		socket, err := listenLoopback("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.serve(socket, instance)
	}
	return d, nil
}

// serve answers an instance's requests until close.
func (d *discovery) serve(socket net.Listener, instance int) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			d.handle(w, request, instance)
		}),
		ReadHeaderTimeout: headerTimeout,
	}
	d.servers = append(d.servers, server)
	d.addresses = append(d.addresses, socket.Addr().String())
	go func() {
		_ = server.Serve(socket) // returns at close; an end before then shows in the run
	}()
}

func (d *discovery) address(instance int) string { return d.addresses[instance] }

func (d *discovery) close() {
	for _, server := range d.servers {
		_ = server.Close() // ends the connections whatever it returns
	}
}

// publish puts a backend's current state into the list after the usual delay.
func (d *discovery) publish(b *backend) {
	b.mu.Lock()
	state, startedAt := b.state, b.startedAt
	b.mu.Unlock()
	d.mu.Lock()
	delay := time.Duration(d.emulator.scenario.Discovery.Delay) + d.extraDelay
	d.mu.Unlock()
	apply := func() { d.apply(b.index, state, startedAt) }
	d.emulator.after(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stale > 0 {
			d.withheld = append(d.withheld, apply)
			return
		}
		apply()
	})
}

// apply changes a backend's endpoint and wakes the watches. The caller holds the lock.
func (d *discovery) apply(backend int, state policy.EndpointState, startedAt monotime.Instant) {
	d.index++
	changed := &d.endpoints[backend]
	changed.state = state
	changed.Status = statusNames[state]
	changed.startedAt = startedAt
	changed.version = d.index
	changed.SinceMs = 0
	if !startedAt.IsZero() {
		changed.SinceMs = float64(d.emulator.log.Start().UnixNano()+startedAt.Nanos()) / 1e6
	}
	d.wakeWatches()
	if d.updates != nil {
		d.updates.add(*changed)
	}
}

// wakeWatches makes the watches look again. The caller holds the lock.
func (d *discovery) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setStale withholds changes, or applies the changes that were withheld.
func (d *discovery) setStale(change faultChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change.count(&d.stale) != lastEdge {
		return
	}
	for _, apply := range d.withheld {
		apply()
	}
	d.withheld = nil
}

func (d *discovery) addDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extraDelay += delay
}

// setRefusing makes every request end with a broken connection, including those that already watch, or stops
// that.
func (d *discovery) setRefusing(change faultChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change.count(&d.refusing)
	d.wakeWatches()
}

func (d *discovery) isRefusing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusing > 0
}

// snapshot returns the whole list.
func (d *discovery) snapshot() endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeList()
}

// deliverSnapshot returns the whole list, and records its delivery to an instance. A snapshot also delivers
// an endpoint that is gone, by its absence.
func (d *discovery) deliverSnapshot(instance int) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listed := range d.endpoints {
		d.emulator.observeDelivery(instance, listed)
	}
	return d.wholeList()
}

// wholeList returns the endpoints that are not gone. The caller holds the lock.
func (d *discovery) wholeList() endpointList {
	list := endpointList{Index: d.index, Snapshot: true, Endpoints: []endpoint{}}
	for _, listed := range d.endpoints {
		if listed.state != policy.EndpointGone {
			list.Endpoints = append(list.Endpoints, listed)
		}
	}
	return list
}

// watchResult is what a watch finds when it looks.
type watchResult struct {
	delta    endpointList
	changed  <-chan struct{} // closed when the watch has to look again
	refusing bool
}

// deliverChanges returns what has changed after an index, and records its delivery to an instance.
func (d *discovery) deliverChanges(index int64, instance int) watchResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	delta := endpointList{Index: d.index, Endpoints: []endpoint{}}
	for _, listed := range d.endpoints {
		if listed.version > index {
			delta.Endpoints = append(delta.Endpoints, listed)
			d.emulator.observeDelivery(instance, listed)
		}
	}
	return watchResult{delta: delta, changed: d.changed, refusing: d.refusing > 0}
}

// observeDelivery records that an instance is about to receive an endpoint. From then on the instance counts
// as knowing it.
func (e *Emulator) observeDelivery(instance int, delivered endpoint) {
	e.log.Observe(invariants.Event{
		Kind:      invariants.EndpointDelivered,
		Instance:  instance,
		Backend:   delivered.backend,
		State:     delivered.state,
		StartedAt: delivered.startedAt,
	})
}
