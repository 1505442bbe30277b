package results

import "github.com/HdrHistogram/hdrhistogram-go"

// The range of the histograms is up to two minutes, with three significant digits.
const (
	maxLatencyMicros = 120e6
	latencyDigits    = 3
)

// histogram counts latencies in microseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
}

func (h histogram) record(micros int64) {
	// RecordValue fails only for values above the range.
	_ = h.RecordValue(min(micros, maxLatencyMicros))
}

// millisAt returns the latency at a percentile, in milliseconds.
func (h histogram) millisAt(percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1e3
}
