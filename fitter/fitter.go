// Package fitter fits a straight line to the costs measured at several sizes, so that
// a benchmark can report the cost per additional unit of size and how well a line
// fits the measurements.
package fitter

import (
	"math"

	"github.com/pkg/errors"
)

// minSizes is the minimum number of different sizes for a fit. With fewer, a small error
// says little about whether the costs lie on a line.
const minSizes = 4

// Line is a fitted line: cost = slope * size + intercept.
type Line struct {
	// Slope is the cost per additional unit of size.
	Slope float64
	// Intercept is the cost at size 0.
	Intercept float64
	// RelativeError is the root mean square error of the line, divided by the absolute value
	// of the mean cost.
	RelativeError float64
}

// Fitter collects measurements.
type Fitter struct {
	sizes, costs []float64
}

// New returns a fitter without measurements.
func New() *Fitter {
	return &Fitter{}
}

// Add adds the cost that was measured at a size.
func (f *Fitter) Add(size, cost float64) {
	f.sizes = append(f.sizes, size)
	f.costs = append(f.costs, cost)
}

// Fit returns the least-squares line. It returns an error if there are fewer than four
// different sizes.
func (f *Fitter) Fit() (Line, error) {
	distinct := make(map[float64]bool)
	for _, size := range f.sizes {
		distinct[size] = true
	}
	if len(distinct) < minSizes {
		return Line{}, errors.Errorf("fitter: %d different sizes, need at least %d", len(distinct), minSizes)
	}
	meanSize, meanCost := mean(f.sizes), mean(f.costs)
	var covariance, variance float64
	for i, size := range f.sizes {
		covariance += (size - meanSize) * (f.costs[i] - meanCost)
		variance += (size - meanSize) * (size - meanSize)
	}
	line := Line{Slope: covariance / variance}
	line.Intercept = meanCost - line.Slope*meanSize
	line.RelativeError = f.rootMeanSquareError(line) / math.Abs(meanCost)
	return line, nil
}

// rootMeanSquareError returns the root mean square of the differences between the
// measured costs and a line.
func (f *Fitter) rootMeanSquareError(line Line) float64 {
	var sum float64
	for i, size := range f.sizes {
		difference := f.costs[i] - line.Intercept - line.Slope*size
		sum += difference * difference
	}
	return math.Sqrt(sum / float64(len(f.sizes)))
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
