// Package metrics holds the metrics of the process, and writes them in Prometheus' text format for the management
// address. The code that handles an event updates its metric. All counters start at 0 in each process.
//
// AddGauges and all methods are safe for concurrent use. Except for Write, they do nothing with a nil Registry, so that
// packages can run without metrics, especially in tests. Operators' dashboards depend on the names of metrics and
// labels, which therefore must not change. Help texts use the terms of docs/glossary.md.
package metrics

import (
	"cmp"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"fawnplank/policy"
)

// RequestOutcome is the kind of answer that a request got.
type RequestOutcome uint8

// The outcomes of a request.
const (
	RequestSucceeded RequestOutcome = iota // answered by a backend
	RequestRejected                        // rejected
	RequestAborted                         // aborted, or refused because of an invalid head

	requestOutcomeCount // the number of outcomes
)

// String returns the name of the metric that counts the outcome, without the namespace.
func (o RequestOutcome) String() string {
	switch o {
	case RequestSucceeded:
		return "success"
	case RequestRejected:
		return "overload"
	case RequestAborted:
		return "error"
	default:
		return fmt.Sprintf("RequestOutcome(%d)", uint8(o))
	}
}

const (
	namespace    = "gw"
	classLabel   = "type"
	unknownClass = "unknown" // the label value of a class whose ID has no name
)

// Registry holds the metrics of one process.
type Registry struct {
	registry          *prometheus.Registry
	requests          [requestOutcomeCount]*prometheus.CounterVec // answered requests, by outcome and class
	attempts          *prometheus.CounterVec                      // sent attempts, by class
	requestsInFlight  prometheus.Gauge
	endpoints         prometheus.Gauge
	drainingEndpoints prometheus.Gauge
	configsReloaded   prometheus.Counter
	configsRejected   prometheus.Counter
	classes           atomic.Pointer[[]string] // names of the classes, by ID
}

// New returns a registry for classes with the given names, by ID.
func New(classes []string) *Registry {
	r := &Registry{
		registry: prometheus.NewRegistry(),
		requests: [requestOutcomeCount]*prometheus.CounterVec{
			RequestSucceeded: newClassCounter(RequestSucceeded.String(), "requests answered by a backend"),
			RequestRejected:  newClassCounter(RequestRejected.String(), "requests rejected"),
			RequestAborted:   newClassCounter(RequestAborted.String(), "requests aborted or refused"),
		},
		attempts:          newClassCounter("dispatches", "attempts sent completely to backends"),
		requestsInFlight:  newGauge("concurrent", "requests received and not answered yet"),
		endpoints:         newGauge("targets", "backends in the endpoint list"),
		drainingEndpoints: newGauge("targets_disabled", "draining backends in the endpoint list"),
		configsReloaded:   newCounter("reload_success", "configurations applied at SIGHUP"),
		configsRejected:   newCounter("reload_failure", "configurations rejected at SIGHUP"),
	}
	for _, counter := range r.classCounters() {
		r.registry.MustRegister(counter)
	}
	r.registry.MustRegister(r.requestsInFlight, r.endpoints, r.drainingEndpoints)
	r.registry.MustRegister(r.configsReloaded, r.configsRejected)
	r.SetClasses(classes)
	return r
}

func newClassCounter(name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{classLabel})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// classCounters returns the counters that have a time series for each class.
func (r *Registry) classCounters() []*prometheus.CounterVec { return append(r.requests[:], r.attempts) }

// Gauge is a metric whose value is read from a source, for instance a server, each time the metrics are written. Values
// that only increase are exported as gauges, too.
type Gauge[S any] struct {
	Name  string                 // without the namespace; its suffix is the unit, if there is one
	Help  string                 // for operators
	Value func(source S) float64 // must be safe for concurrent use
}

// AddGauges adds the gauges of a source to a registry. It panics if a name is already registered, which is a bug in the
// program.
func AddGauges[S any](r *Registry, source S, gauges []Gauge[S]) {
	if r == nil {
		return
	}
	for _, gauge := range gauges {
		options := prometheus.GaugeOpts{Namespace: namespace, Name: gauge.Name, Help: gauge.Help}
		value := func() float64 { return gauge.Value(source) }
		r.registry.MustRegister(prometheus.NewGaugeFunc(options, value))
	}
}

// SetClasses replaces the names of the classes, by ID, after a reload. There must be at least as many names as before,
// since a removed class keeps its ID. An empty name stands for a removed class, whose previous name stays in use: its
// counts stay in the metrics, and its requests that are still in flight are counted under that name.
func (r *Registry) SetClasses(names []string) {
	if r == nil {
		return
	}
	names = append([]string(nil), names...)
	if previous := r.classes.Load(); previous != nil {
		for id := range min(len(*previous), len(names)) {
			names[id] = cmp.Or(names[id], (*previous)[id])
		}
	}
	for _, name := range names { // creates the time series, so that each starts at 0
		for _, counter := range r.classCounters() {
			counter.WithLabelValues(name)
		}
	}
	r.classes.Store(&names)
}

func (r *Registry) className(id policy.ClassID) string {
	if names := *r.classes.Load(); int(id) < len(names) {
		return names[id]
	}
	return unknownClass
}

// RequestReceived counts a completely read request as in flight. At most one call of RequestAnswered and then one call
// of RequestEnded must follow for each request. For a request that is refused because of an invalid head, only
// RequestAnswered is called.
func (r *Registry) RequestReceived() {
	if r != nil {
		r.requestsInFlight.Inc()
	}
}

// RequestAnswered counts the answer to a request under the class that the request states. A refusal because of an
// invalid head is also counted, if the class could be parsed. The request of a client that has disconnected gets no
// answer and is not counted.
func (r *Registry) RequestAnswered(class policy.ClassID, outcome RequestOutcome) {
	if r != nil {
		r.requests[outcome].WithLabelValues(r.className(class)).Inc()
	}
}

// RequestEnded counts a request that is no longer in flight, answered or not.
func (r *Registry) RequestEnded() {
	if r != nil {
		r.requestsInFlight.Dec()
	}
}

// AttemptSent counts an attempt after its last byte was written.
func (r *Registry) AttemptSent(class policy.ClassID) {
	if r != nil {
		r.attempts.WithLabelValues(r.className(class)).Inc()
	}
}

// SetEndpoints sets the number of backends in the endpoint list, and how many of them are draining.
func (r *Registry) SetEndpoints(listed, draining int) {
	if r != nil {
		r.endpoints.Set(float64(listed))
		r.drainingEndpoints.Set(float64(draining))
	}
}

// ConfigReloaded counts a configuration that was applied at a SIGHUP.
func (r *Registry) ConfigReloaded() {
	if r != nil {
		r.configsReloaded.Inc()
	}
}

// ConfigRejected counts a configuration that was rejected at a SIGHUP because it was invalid.
func (r *Registry) ConfigRejected() {
	if r != nil {
		r.configsRejected.Inc()
	}
}

// Write writes all metrics in Prometheus' text format. It returns an error if writing to w fails or if the collected
// metrics are inconsistent.
func (r *Registry) Write(w io.Writer) error {
	families, err := r.registry.Gather()
	if err != nil {
		return err
	}
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(w, family); err != nil {
			return err
		}
	}
	return nil
}
