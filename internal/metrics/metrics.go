// Package metrics keeps the figures that the management address shows, in Prometheus' text form. Each is
// counted where its event happens, from 0 in each process; the package owns nothing but the counts, and must
// never decide anything.
package metrics

import (
	"cmp"
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"fawnplank/policy"
)

// Outcome is how a transaction was answered.
type Outcome uint8

const (
	Success  Outcome = iota // fulfilled
	Overload                // dismissed
	Error                   // broken off, or refused for its head
)

// Registry are one process's figures. A nil one counts nothing, for parts that are tried alone.
type Registry struct {
	reg                        *prometheus.Registry
	ends                       [3]*prometheus.CounterVec
	dispatches                 *prometheus.CounterVec
	concurrent                 prometheus.Gauge
	targets, disabled          prometheus.Gauge
	reloadSuccess, reloadFault prometheus.Counter
	classes                    atomic.Pointer[[]string] // the names of the profiles, by id
}

// New makes figures for the classes named, by profile id.
func New(classes []string) *Registry {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "gw", Name: name, Help: help},
			[]string{"type"})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "gw", Name: name, Help: help})
	}
	f := &Registry{reg: prometheus.NewRegistry(),
		ends: [3]*prometheus.CounterVec{counter("success", "transactions fulfilled"),
			counter("overload", "transactions dismissed"), counter("error", "transactions broken off or refused")},
		dispatches: counter("dispatches", "shots written whole to backends"),
		concurrent: gauge("concurrent", "transactions taken and not answered"),
		targets:    gauge("targets", "backends in the list"),
		disabled:   gauge("targets_disabled", "listed backends that are sent nothing new"),
		reloadSuccess: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "gw", Name: "reload_success",
			Help: "configurations taken at SIGHUP"}),
		reloadFault: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "gw", Name: "reload_failure",
			Help: "configurations turned down at SIGHUP"})}
	f.reg.MustRegister(f.ends[0], f.ends[1], f.ends[2], f.dispatches, f.concurrent, f.targets, f.disabled,
		f.reloadSuccess, f.reloadFault)
	f.SetClasses(classes)
	return f
}

// AddGauges adds figures that are asked for whenever they are shown. Each name has its help and its value.
func (f *Registry) AddGauges(all map[string]Gauge) {
	if f == nil {
		return
	}
	for name, w := range all {
		f.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "gw", Name: name, Help: w.Help}, w.Value))
	}
}

// Gauge is a figure that is asked for.
type Gauge struct {
	Help  string
	Value func() float64
}

// SetClasses names the profiles anew, after a reload; what was counted for classes dropped stays readable. An
// empty name keeps the one it had: open transactions of a dropped class count under it.
func (f *Registry) SetClasses(names []string) {
	if f == nil {
		return
	}
	names = append([]string(nil), names...)
	if old := f.classes.Load(); old != nil {
		for id := range min(len(*old), len(names)) {
			names[id] = cmp.Or(names[id], (*old)[id])
		}
	}
	for _, n := range names { // each is shown from 0 on
		for _, v := range append(f.ends[:], f.dispatches) {
			v.WithLabelValues(n)
		}
	}
	f.classes.Store(&names)
}

func (f *Registry) class(p policy.ClassID) string {
	if names := *f.classes.Load(); int(p) >= 0 && int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// RequestReceived counts a transaction taken, and Ended its answer, of the class it was taken under.
func (f *Registry) RequestReceived() {
	if f != nil {
		f.concurrent.Inc()
	}
}

// RequestEnded counts a transaction's answer; client gone: none.
func (f *Registry) RequestEnded(p policy.ClassID, how Outcome) {
	if f != nil {
		f.ends[how].WithLabelValues(f.class(p)).Inc()
	}
}

// RequestClosed counts a transaction that has ended, answered or not.
func (f *Registry) RequestClosed() {
	if f != nil {
		f.concurrent.Dec()
	}
}

// RequestRefused counts a transaction refused for its head, where its class could be read.
func (f *Registry) RequestRefused(class string) {
	if f != nil {
		f.ends[Error].WithLabelValues(class).Inc()
	}
}

// AttemptSent counts a shot whose last byte was written.
func (f *Registry) AttemptSent(p policy.ClassID) {
	if f != nil {
		f.dispatches.WithLabelValues(f.class(p)).Inc()
	}
}

// SetEndpoints tells how many backends the list holds, and how many of them are sent nothing new.
func (f *Registry) SetEndpoints(all, disabled int) {
	if f != nil {
		f.targets.Set(float64(all))
		f.disabled.Set(float64(disabled))
	}
}

// ConfigReloaded counts a configuration that took effect at a SIGHUP.
func (f *Registry) ConfigReloaded() {
	if f != nil {
		f.reloadSuccess.Inc()
	}
}

// ConfigRejected counts a configuration that was found faulty at a SIGHUP, and changed nothing.
func (f *Registry) ConfigRejected() {
	if f != nil {
		f.reloadFault.Inc()
	}
}

// Write writes all figures in Prometheus' text form.
func (f *Registry) Write(w io.Writer) error {
	families, err := f.reg.Gather()
	if err != nil {
		return err
	}
	for _, mf := range families {
		if _, err := expfmt.MetricFamilyToText(w, mf); err != nil {
			return err
		}
	}
	return nil
}
