// Package estimate computes running estimates from recent measurements: a mean and a regression line. The caller
// chooses with each measurement how many of the most recent ones an estimate covers. The zero values are ready to use.
// The types are not safe for concurrent use.
package estimate

// Mean is an exponentially weighted moving average. It is the arithmetic mean of the first maxCount measurements; after
// these, each new measurement has a weight of 1/maxCount.
type Mean struct {
	Value float64 // in the unit of the measurements; 0 before the first one
	Count float64 // number of measurements that Value is based on, at most maxCount
}

// Add adds a measurement to the mean, which covers about the last maxCount measurements.
func (m *Mean) Add(measured, maxCount float64) {
	m.Count = min(m.Count+1, maxCount)
	m.Value += (measured - m.Value) / m.Count
}

// Blend returns the mean combined with a prior that has the weight of a number of measurements. weight must be above 0.
func (m *Mean) Blend(prior, weight float64) float64 {
	return (m.Value*m.Count + prior*weight) / (m.Count + weight)
}

// Regression is the linear regression of y on x over recent measurements.
type Regression struct {
	Count      float64 // number of measurements that the line is based on, at most maxCount
	MeanX      float64
	MeanY      float64
	variance   float64 // of x
	covariance float64 // of x and y
}

// minVariance keeps the slope finite when all x are equal.
const minVariance = 1e-9

// Add adds a measurement to the regression, which covers about the last maxCount measurements.
func (r *Regression) Add(x, y, maxCount float64) {
	r.Count = min(r.Count+1, maxCount)
	offsetX := x - r.MeanX
	offsetY := y - r.MeanY
	r.MeanX += offsetX / r.Count
	r.MeanY += offsetY / r.Count
	r.variance += (offsetX*(x-r.MeanX) - r.variance) / r.Count
	r.covariance += (offsetX*(y-r.MeanY) - r.covariance) / r.Count
}

// Slope returns the slope of the line, or 0 if the line falls.
func (r *Regression) Slope() float64 { return max(r.covariance/(r.variance+minVariance), 0) }
