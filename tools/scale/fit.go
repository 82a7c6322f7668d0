package main

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	tailPointCount       = 3    // largest points, from which the growth at the large end is taken
	maxPowerLawDeviation = 0.25 // of the fitted value; a forecast that is further off counts as a finding
)

// point is the value measured at one size.
type point struct {
	Size        int     `json:"size"`
	Value       float64 `json:"value"` // in the unit of the series
	Repetitions int     `json:"reps"`  // repetitions of which the value is the lowest (times) or the mean (counts)
}

// fit is the growth of a series: value = Factor * size^Exponent, by least squares on logarithms.
type fit struct {
	Exponent         float64 `json:"exponent"`
	Factor           float64 `json:"factor"`   // fitted value at size 1
	TailExponent     float64 `json:"tail"`     // exponent fitted to the largest points alone
	TailSlope        float64 `json:"per_unit"` // slope of a straight line fitted to the largest points, in value per unit of size
	MaxDeviation     float64 `json:"off"`      // largest deviation of a point from the fit, as a fraction of the fitted value
	MaxDeviationSize int     `json:"off_at"`   // size of that point
	IsPowerLaw       bool    `json:"line"`     // no point deviates by more than maxPowerLawDeviation
}

// logarithms returns the logarithms of the points with a positive size and value.
func logarithms(points []point) (x, y []float64) {
	for _, p := range points {
		if p.Size > 0 && p.Value > 0 {
			x, y = append(x, math.Log(float64(p.Size))), append(y, math.Log(p.Value))
		}
	}
	return x, y
}

// fitPowerLaw fits a power law to the points; it needs two points above zero.
func fitPowerLaw(points []point) (f fit, err error) {
	x, y := logarithms(points)
	if len(x) < 2 {
		return f, fmt.Errorf("%d points above zero: no growth can be fitted", len(x))
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	f.Exponent, f.Factor = b, math.Exp(a)
	large := points[max(0, len(points)-tailPointCount):]
	f.TailExponent = b
	if tx, ty := logarithms(large); len(tx) >= 2 {
		_, f.TailExponent = stat.LinearRegression(tx, ty, nil, false)
	}
	var sizes, values []float64
	for _, p := range large {
		sizes, values = append(sizes, float64(p.Size)), append(values, p.Value)
	}
	_, f.TailSlope = stat.LinearRegression(sizes, values, nil, false)
	for _, p := range points {
		if deviation := math.Abs(p.Value/f.valueAt(p.Size) - 1); deviation > f.MaxDeviation {
			f.MaxDeviation, f.MaxDeviationSize = deviation, p.Size
		}
	}
	f.IsPowerLaw = f.MaxDeviation <= maxPowerLawDeviation
	return f, nil
}

// valueAt returns the fitted value at a size.
func (f fit) valueAt(size int) float64 { return f.Factor * math.Pow(float64(size), f.Exponent) }

// forecast returns the expected value at a size: between two points by the power law through them, beyond the last point by the growth of the
// largest ones.
func (s *series) forecast(size int) float64 {
	last := s.Points[len(s.Points)-1]
	for i, p := range s.Points {
		switch {
		case p.Size == size:
			return p.Value
		case p.Size > size && i > 0:
			previous := s.Points[i-1]
			if previous.Value <= 0 || p.Value <= 0 {
				return previous.Value + (p.Value-previous.Value)*float64(size-previous.Size)/float64(p.Size-previous.Size)
			}
			fraction := math.Log(float64(size)/float64(previous.Size)) / math.Log(float64(p.Size)/float64(previous.Size))
			return previous.Value * math.Pow(p.Value/previous.Value, fraction)
		}
	}
	return last.Value * math.Pow(float64(size)/float64(last.Size), s.Fit.TailExponent)
}

// covers reports whether a size lies within the measured sizes.
func (s *series) covers(size int) bool {
	return s.Points[0].Size <= size && size <= s.Points[len(s.Points)-1].Size
}

// verdict says whether the series follows a power law, which is a straight line on logarithmic axes, and if not where it deviates most.
func (f fit) verdict() string {
	if f.IsPowerLaw {
		return fmt.Sprintf("line (%.0f%% off at the most)", 100*f.MaxDeviation)
	}
	return fmt.Sprintf("NO LINE: %.0f%% off at %d, exponent %.2f at the large end", 100*f.MaxDeviation, f.MaxDeviationSize, f.TailExponent)
}
