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

// headerTimeout bounds the reading of a request's header, so that a stalled client does not keep a connection open
// indefinitely.
const headerTimeout = 5 * time.Second

// discovery emulates the discovery service: it serves the endpoint list over HTTP, for polls and watches. Each
// instance has its own address, so that the deliveries to each instance can be recorded.
type discovery struct {
	emulator  *Emulator
	servers   []*http.Server // by instance
	addresses []string       // by instance
	updates   *updateQueues  // nil unless the scenario sends changes as dynamic DNS updates

	mu              sync.Mutex // guards the fields below
	index           int64
	endpoints       []endpoint    // by backend
	changed         chan struct{} // closed when the watches have to check the list again
	extraDelay      time.Duration // sum of the delays of the active DiscoveryLate faults
	stale           int           // number of active DiscoveryStale faults
	refusing        int           // number of active DiscoveryRefuse faults
	withheldChanges []func()      // to be applied when the last DiscoveryStale fault ends
}

// endpoint is the entry of a backend in the endpoint list.
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
	startedAt monotime.Instant // relative to the start of the run; zero: long before it
	state     policy.EndpointState
	version   int64 // index of the list at the latest change of the endpoint
}

// endpointList is the body of a response: a full snapshot or a delta.
type endpointList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// statusNames maps each state to its name in the list.
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

// serve starts a server for the requests of an instance, which runs until close.
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
		_ = server.Serve(socket) // returns at close; the results of the run show an earlier failure
	}()
}

func (d *discovery) address(instance int) string { return d.addresses[instance] }

func (d *discovery) close() {
	for _, server := range d.servers {
		_ = server.Close() // closes the connections even if it returns an error
	}
}

// publish schedules the change of a backend's entry to its current state, after the delay of the scenario and the
// active faults.
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
			d.withheldChanges = append(d.withheldChanges, apply)
			return
		}
		apply()
	})
}

// apply changes a backend's entry in the list, notifies the watches, and queues a dynamic DNS update if the scenario
// uses DNS. The caller holds the lock.
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
	d.notifyWatches()
	if d.updates != nil {
		d.updates.enqueue(*changed)
	}
}

// notifyWatches makes the watches check the list again. The caller holds the lock.
func (d *discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setStale begins or ends the withholding of changes. When the last such fault ends, it applies the withheld changes.
func (d *discovery) setStale(change faultChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change.addTo(&d.stale) != becameInactive {
		return
	}
	for _, apply := range d.withheldChanges {
		apply()
	}
	d.withheldChanges = nil
}

func (d *discovery) addDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extraDelay += delay
}

// setRefusing begins or ends a fault during which the connection of every request is broken, including those of
// running watches.
func (d *discovery) setRefusing(change faultChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change.addTo(&d.refusing)
	d.notifyWatches()
}

func (d *discovery) isRefusing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusing > 0
}

// snapshot returns the full list.
func (d *discovery) snapshot() endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

// deliverSnapshot returns the full list and records its delivery to an instance. The record includes endpoints that
// are gone, since their absence from the snapshot delivers that state.
func (d *discovery) deliverSnapshot(instance int) endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, listed := range d.endpoints {
		d.emulator.recordDelivery(instance, listed)
	}
	return d.fullList()
}

// fullList returns a snapshot of the endpoints that are not gone. The caller holds the lock.
func (d *discovery) fullList() endpointList {
	list := endpointList{Index: d.index, Snapshot: true, Endpoints: []endpoint{}}
	for _, listed := range d.endpoints {
		if listed.state != policy.EndpointGone {
			list.Endpoints = append(list.Endpoints, listed)
		}
	}
	return list
}

// watchResult is the result of one check of the list by a watch.
type watchResult struct {
	delta    endpointList
	changed  <-chan struct{} // closed when the watch has to check the list again
	refusing bool
}

// deliverChanges returns the endpoints that have changed after an index, and records their delivery to an instance.
func (d *discovery) deliverChanges(index int64, instance int) watchResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	delta := endpointList{Index: d.index, Endpoints: []endpoint{}}
	for _, listed := range d.endpoints {
		if listed.version > index {
			delta.Endpoints = append(delta.Endpoints, listed)
			d.emulator.recordDelivery(instance, listed)
		}
	}
	return watchResult{delta: delta, changed: d.changed, refusing: d.refusing > 0}
}

// recordDelivery records that an endpoint is about to be sent to an instance. From then on the invariants assume that
// the instance has received it.
func (e *Emulator) recordDelivery(instance int, delivered endpoint) {
	e.log.Observe(invariants.Event{
		Kind:      invariants.EndpointDelivered,
		Instance:  instance,
		Backend:   delivered.backend,
		State:     delivered.state,
		StartedAt: delivered.startedAt,
	})
}
