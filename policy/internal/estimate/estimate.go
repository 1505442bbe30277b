// Package estimate keeps running estimates of recent measurements: a mean and a regression line. The caller
// says how many measurements each one reaches back over; the package holds no such number itself. The zero values
// are ready to use. Nothing here is safe for concurrent use.
package estimate

// Mean is an exponentially weighted moving average: the plain mean of the first measurements, after which each
// new one weighs 1/maxCount.
type Mean struct {
	Value float64 // in the unit of the measurements; 0 before the first
	Count float64 // number of measurements behind the value, at most maxCount
}

// Add adds a measurement. The mean reaches back over about the last maxCount.
func (m *Mean) Add(measured, maxCount float64) {
	m.Count = min(m.Count+1, maxCount)
	m.Value += (measured - m.Value) / m.Count
}

// Blend returns the mean combined with a prior that weighs as much as weight measurements. weight is above 0.
func (m *Mean) Blend(prior, weight float64) float64 {
	return (m.Value*m.Count + prior*weight) / (m.Count + weight)
}

// Regression is the straight line through recent measurements of y over x.
type Regression struct {
	Count      float64 // number of measurements behind the line, at most maxCount
	MeanX      float64
	MeanY      float64
	variance   float64 // of x
	covariance float64 // of x and y
}

// minVariance keeps the slope finite when all x are equal.
const minVariance = 1e-9

// Add adds a measurement. The line reaches back over about the last maxCount.
func (r *Regression) Add(x, y, maxCount float64) {
	r.Count = min(r.Count+1, maxCount)
	offsetX := x - r.MeanX
	offsetY := y - r.MeanY
	r.MeanX += offsetX / r.Count
	r.MeanY += offsetY / r.Count
	r.variance += (offsetX*(x-r.MeanX) - r.variance) / r.Count
	r.covariance += (offsetX*(y-r.MeanY) - r.covariance) / r.Count
}

// Slope returns how much y rises per unit of x, or 0 if it does not rise.
func (r *Regression) Slope() float64 { return max(r.covariance/(r.variance+minVariance), 0) }
