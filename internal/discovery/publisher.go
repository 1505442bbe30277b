package discovery

import (
	"hash/fnv"
	"io"
	"maps"
	"math"
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// endpointStates maps the statuses in a list to the engine's states.
var endpointStates = map[string]policy.EndpointState{
	StatusUp:       policy.EndpointReady,
	StatusDraining: policy.EndpointDraining,
	StatusRemoved:  policy.EndpointGone,
}

// publisher converts lists into updates for the engine. It keeps the ids of the listed names. Only one
// goroutine at a time may use it.
type publisher struct {
	subscriber  Subscriber
	addressBook AddressBook
	metrics     *metrics.Registry
	zones       zoneIDs
	ids         map[string]policy.BackendID
	names       map[policy.BackendID]string
	listed      map[policy.BackendID]bool
	draining    map[policy.BackendID]bool // whether a listed backend gets no new attempts
}

// zoneIDs numbers zones: first those of the configuration, then others in order of appearance.
type zoneIDs map[string]policy.ZoneID

func (z zoneIDs) of(name string) policy.ZoneID {
	id, ok := z[name]
	if !ok {
		id = policy.ZoneID(len(z))
		z[name] = id
	}
	return id
}

func newPublisher(options Options) *publisher {
	p := &publisher{
		subscriber:  options.Subscriber,
		addressBook: options.AddressBook,
		metrics:     options.Metrics,
		zones:       zoneIDs{},
		ids:         map[string]policy.BackendID{},
		names:       map[policy.BackendID]string{},
		listed:      map[policy.BackendID]bool{},
		draining:    map[policy.BackendID]bool{},
	}
	for _, zone := range options.Config.Zones {
		p.zones.of(zone)
	}
	return p
}

func (p *publisher) hasEndpoints() bool { return len(p.listed) > 0 }

// publish notifies the address book of an update, then the subscriber. Of several entries for a backend the last holds.
func (p *publisher) publish(kind policy.UpdateKind, endpoints []Endpoint) {
	updates := make([]policy.Endpoint, len(endpoints))
	listed := map[policy.BackendID]bool{}
	for i, endpoint := range endpoints {
		updates[i] = p.register(endpoint)
		backend := updates[i].Backend
		if updates[i].State == policy.EndpointGone {
			p.forget(backend)
			delete(listed, backend)
			continue
		}
		p.setAddress(backend, endpoint)
		listed[backend] = true
	}
	if kind != policy.Delta {
		p.forgetAllBut(listed)
	}
	maps.Copy(p.listed, listed)
	p.noteDraining(updates)
	p.metrics.SetEndpoints(len(p.listed), p.countDraining())
	p.subscriber.UpdateEndpoints(kind, updates)
}

// register converts a listed endpoint to the engine's form. It allots ids to a backend and a zone whose names are
// new. An endpoint with an unknown status counts as draining, which is the zero state; a warning says so for each
// such entry of every list.
func (p *publisher) register(endpoint Endpoint) policy.Endpoint {
	state, ok := endpointStates[endpoint.Status]
	if !ok {
		logging.For(logComponent).WithField(logging.Backend, endpoint.Name).
			WithField("status", endpoint.Status).Warn("unknown endpoint status, treated as draining")
	}
	return policy.Endpoint{
		Backend:   p.backendID(endpoint.Name),
		Zone:      p.zones.of(endpoint.Zone),
		Group:     policy.GroupID(endpoint.Group),
		Weight:    endpoint.Weight,
		State:     state,
		StartedAt: startOf(endpoint),
	}
}

// startOf returns an endpoint's start, rounded to the microsecond: below that, a float64 of milliseconds holds
// only noise.
func startOf(endpoint Endpoint) policy.Instant {
	const microsPerMilli = 1e3
	micros := int64(math.Round(endpoint.StartedAtMillis * microsPerMilli))
	return monotime.FromNanos(micros * int64(time.Microsecond))
}

func (p *publisher) setAddress(backend policy.BackendID, endpoint Endpoint) {
	if len(endpoint.Addresses) > 0 {
		p.addressBook.SetAddresses(backend, endpoint.Addresses)
		return
	}
	p.addressBook.SetAddress(backend, endpoint.Address)
}

// forgetAllBut forgets the backends that a full snapshot does not list.
func (p *publisher) forgetAllBut(listed map[policy.BackendID]bool) {
	for backend := range p.listed {
		if !listed[backend] {
			p.forget(backend)
		}
	}
}

// forget deletes everything known about a backend that is gone. Otherwise memory would grow without end,
// since new backends keep arriving under new names.
func (p *publisher) forget(backend policy.BackendID) {
	p.addressBook.RemoveBackend(backend)
	delete(p.listed, backend)
	delete(p.draining, backend)
	delete(p.ids, p.names[backend])
	delete(p.names, backend)
}

// noteDraining records which of the updated backends get no new attempts.
func (p *publisher) noteDraining(updates []policy.Endpoint) {
	for _, update := range updates {
		if update.State == policy.EndpointGone || !p.listed[update.Backend] {
			delete(p.draining, update.Backend)
			continue
		}
		p.draining[update.Backend] = update.State != policy.EndpointReady
	}
}

func (p *publisher) countDraining() int {
	count := 0
	for backend := range p.listed {
		if p.draining[backend] {
			count++
		}
	}
	return count
}

// backendID returns the id of a name: a hash of the name, since the engine needs the id to be the same on
// every instance. If two names have the same hash, the later one gets the next free id. Instances may then
// differ, which only makes the load less even.
func (p *publisher) backendID(name string) policy.BackendID {
	if id, ok := p.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // a hash's Write never fails
	id := policy.BackendID(hash.Sum32())
	for p.names[id] != "" {
		id++
	}
	p.ids[name] = id
	p.names[id] = name
	return id
}
