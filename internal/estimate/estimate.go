// Package estimate holds running estimates of what was measured lately: a mean, and a regression line. Each
// takes how many measurements it reaches back over from its caller, and holds no tuned value of its own. The
// zero values are ready to use. Nothing here is safe for concurrent use.
package estimate

// Mean is the mean of what was measured lately.
type Mean struct {
	Value float64
	Count float64 // of the measurements that stand behind the value
}

// Add takes in one more measurement. The mean reaches back over the last maxCount or so.
func (m *Mean) Add(measured, maxCount float64) {
	m.Count = min(m.Count+1, maxCount)
	m.Value += (measured - m.Value) / m.Count
}

// Blend returns the mean together with a prior that weighs as much as so many measurements.
func (m *Mean) Blend(prior, weight float64) float64 {
	return (m.Value*m.Count + prior*weight) / (m.Count + weight)
}

// Regression is the straight line through the last measurements of y over x.
type Regression struct {
	Count        float64
	MeanX, MeanY float64
	variance     float64 // of x
	covariance   float64 // of x and y
}

// minVariance keeps the slope finite where all x are alike.
const minVariance = 1e-9

// Add takes in one more measurement. The line reaches back over the last maxCount or so.
func (r *Regression) Add(x, y, maxCount float64) {
	r.Count = min(r.Count+1, maxCount)
	offsetX, offsetY := x-r.MeanX, y-r.MeanY
	r.MeanX += offsetX / r.Count
	r.MeanY += offsetY / r.Count
	r.variance += (offsetX*(x-r.MeanX) - r.variance) / r.Count
	r.covariance += (offsetX*(y-r.MeanY) - r.covariance) / r.Count
}

// Slope returns by how much y rises for each x: 0 where it does not rise.
func (r *Regression) Slope() float64 { return max(r.covariance/(r.variance+minVariance), 0) }
