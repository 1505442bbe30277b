// Package metrics keeps the metrics that the management address shows, in Prometheus' text format. Each is
// counted where its event happens, and starts at 0 in each process. The package owns only the counts and
// makes no decisions.
//
// AddGauges and all methods are safe for concurrent use. Except for Write, they do nothing with a nil Registry,
// so parts that run without metrics, especially in tests, need no registry. Operators' dashboards depend on the
// names of metrics and labels, which therefore stay as they are; help texts use the terms of docs/glossary.md.
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

// RequestOutcome is the way in which a request was answered.
type RequestOutcome uint8

// The outcomes of a request.
const (
	RequestSucceeded RequestOutcome = iota // answered by a backend
	RequestRejected                        // rejected
	RequestAborted                         // aborted, or refused because of its head

	requestOutcomeCount // the number of outcomes
)

// String returns the name of the outcome's metric, without the namespace.
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
	unknownClass = "unknown" // the label of a class whose id has no name
)

// Registry holds the metrics of one process.
type Registry struct {
	registry          *prometheus.Registry
	requests          [requestOutcomeCount]*prometheus.CounterVec // answered, by outcome and class
	attempts          *prometheus.CounterVec                      // sent, by class
	requestsInFlight  prometheus.Gauge
	endpoints         prometheus.Gauge
	drainingEndpoints prometheus.Gauge
	configsReloaded   prometheus.Counter
	configsRejected   prometheus.Counter
	classes           atomic.Pointer[[]string] // names of the classes, by id
}

// New returns a registry for classes with the given names, by id.
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

// classCounters returns the counters that have a row for each class.
func (r *Registry) classCounters() []*prometheus.CounterVec { return append(r.requests[:], r.attempts) }

// Gauge is a metric of a source, for instance a server, that is read each time the metric is shown. Some of them
// only rise, and are exported as gauges all the same.
type Gauge[S any] struct {
	Name  string                 // without the namespace; its ending names the unit, if there is one
	Help  string                 // for operators
	Value func(source S) float64 // safe for concurrent use
}

// AddGauges adds the gauges of a source to a registry. A name that already exists is a bug in the program and
// causes a panic.
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

// SetClasses replaces the names of the classes, by id, after a reload. There must be at least as many as before,
// since ids are never given up. The counts of dropped classes stay readable. An empty name keeps the previous name
// of its id, under which the requests in flight of a dropped class are counted.
func (r *Registry) SetClasses(names []string) {
	if r == nil {
		return
	}
	names = append([]string(nil), names...)
	if old := r.classes.Load(); old != nil {
		for id := range min(len(*old), len(names)) {
			names[id] = cmp.Or(names[id], (*old)[id])
		}
	}
	for _, name := range names { // each class is shown from 0 on
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

// RequestReceived counts a completely read request as one in flight. It is followed by at most one RequestAnswered
// and then by one RequestEnded. A request that is refused because of its head has a RequestAnswered alone.
func (r *Registry) RequestReceived() {
	if r != nil {
		r.requestsInFlight.Inc()
	}
}

// RequestAnswered counts a request's answer under the class that the request came with. That includes a
// refusal because of the request's head, if its class could be read. A request whose client has gone has no
// answer to count.
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

// AttemptSent counts an attempt whose last byte was written.
func (r *Registry) AttemptSent(class policy.ClassID) {
	if r != nil {
		r.attempts.WithLabelValues(r.className(class)).Inc()
	}
}

// SetEndpoints sets how many backends the endpoint list holds, and how many of them are draining.
func (r *Registry) SetEndpoints(listed, draining int) {
	if r != nil {
		r.endpoints.Set(float64(listed))
		r.drainingEndpoints.Set(float64(draining))
	}
}

// ConfigReloaded counts a configuration that took effect at a SIGHUP.
func (r *Registry) ConfigReloaded() {
	if r != nil {
		r.configsReloaded.Inc()
	}
}

// ConfigRejected counts a configuration that was found faulty at a SIGHUP and therefore changed nothing.
func (r *Registry) ConfigRejected() {
	if r != nil {
		r.configsRejected.Inc()
	}
}

// Write writes all metrics in Prometheus' text format. The error is that of w, or of metrics that contradict
// each other.
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
