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

// publisher converts lists into updates for the engine. It keeps the ids of the listed backends. Only one goroutine
// at a time may use it.
type publisher struct {
	subscriber  Subscriber
	addressBook AddressBook
	metrics     *metrics.Registry
	zones       zoneIDs
	ids         map[string]policy.BackendID
	names       map[policy.BackendID]string
	listed      map[policy.BackendID]bool
	draining    map[policy.BackendID]bool // whether a listed backend gets no new attempts
	startedAt   map[policy.BackendID]policy.Instant
}

// zoneIDs maps zone names to ids. The zones of the configuration get the first ids, other zones the next ones in the
// order in which they appear.
type zoneIDs map[string]policy.ZoneID

func (z zoneIDs) idFor(name string) policy.ZoneID {
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
		startedAt:   map[policy.BackendID]policy.Instant{},
	}
	for _, zone := range options.Config.Zones {
		p.zones.idFor(zone)
	}
	return p
}

func (p *publisher) hasEndpoints() bool { return len(p.listed) > 0 }

// publish notifies the address book of an update, then the subscriber. If a backend has several entries, the last one
// applies.
func (p *publisher) publish(kind policy.UpdateKind, endpoints []Endpoint) {
	updates := make([]policy.Endpoint, len(endpoints))
	listed := map[policy.BackendID]bool{}
	for i, endpoint := range endpoints {
		updates[i] = p.toPolicyEndpoint(endpoint)
		backend := updates[i].Backend
		if updates[i].State == policy.EndpointGone {
			p.removeBackend(backend)
			delete(listed, backend)
			continue
		}
		p.setAddress(backend, endpoint)
		p.recordStart(updates[i])
		listed[backend] = true
	}
	if kind != policy.Delta {
		p.removeUnlisted(listed)
	}
	maps.Copy(p.listed, listed)
	p.recordDraining(updates)
	p.metrics.SetEndpoints(len(p.listed), p.countDraining())
	p.subscriber.UpdateEndpoints(kind, updates)
}

// toPolicyEndpoint converts a listed endpoint to the engine's form. It assigns ids to new backends and zones. An
// endpoint with an unknown status is treated as draining, which is the zero value of the state; a warning is logged
// for each such entry of every list.
func (p *publisher) toPolicyEndpoint(endpoint Endpoint) policy.Endpoint {
	state, ok := endpointStates[endpoint.Status]
	if !ok {
		logging.For(logComponent).WithField(logging.Backend, endpoint.Name).
			WithField("status", endpoint.Status).Warn("unknown endpoint status, treated as draining")
	}
	return policy.Endpoint{
		Backend:   p.backendID(endpoint.Name),
		Zone:      p.zones.idFor(endpoint.Zone),
		Group:     policy.GroupID(endpoint.Group),
		Weight:    endpoint.Weight,
		State:     state,
		StartedAt: startInstant(endpoint),
	}
}

// startInstant returns an endpoint's start time, rounded to the microsecond: a float64 of milliseconds is not precise
// below that.
func startInstant(endpoint Endpoint) policy.Instant {
	const microsPerMilli = 1e3
	micros := int64(math.Round(endpoint.StartedAtMillis * microsPerMilli))
	return monotime.FromNanos(micros * int64(time.Microsecond))
}

// recordStart records when a backend was started. If that is another process than before, connections to the former
// one, whose machine may have fallen silent, are not used for it, nor those that are being opened at its address.
func (p *publisher) recordStart(update policy.Endpoint) {
	former, known := p.startedAt[update.Backend]
	if known && former != update.StartedAt {
		p.addressBook.ResetConnections(update.Backend)
	}
	p.startedAt[update.Backend] = update.StartedAt
}

func (p *publisher) setAddress(backend policy.BackendID, endpoint Endpoint) {
	if len(endpoint.Addresses) > 0 {
		p.addressBook.SetAddresses(backend, endpoint.Addresses)
		return
	}
	p.addressBook.SetAddress(backend, endpoint.Address)
}

// removeUnlisted removes the backends that a full snapshot does not list.
func (p *publisher) removeUnlisted(listed map[policy.BackendID]bool) {
	for backend := range p.listed {
		if !listed[backend] {
			p.removeBackend(backend)
		}
	}
}

// removeBackend deletes all state of a backend that is no longer listed. Otherwise memory would grow without bound,
// since new backends get new names.
func (p *publisher) removeBackend(backend policy.BackendID) {
	p.addressBook.RemoveBackend(backend)
	delete(p.listed, backend)
	delete(p.draining, backend)
	delete(p.startedAt, backend)
	delete(p.ids, p.names[backend])
	delete(p.names, backend)
}

// recordDraining records which of the updated backends are draining and get no new attempts.
func (p *publisher) recordDraining(updates []policy.Endpoint) {
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

// backendID returns the id of a backend. It is a hash of the name, since the engine needs the id to be the same on
// every instance. If two names have the same hash, the one that appears later gets the next free id. Instances may
// then assign different ids, which only makes the load less even.
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
