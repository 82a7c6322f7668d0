package main

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	tailPointCount       = 3    // largest points by which growth at the large end is told
	maxPowerLawDeviation = 0.25 // of the fitted value, over which a point is not on the line: forecasts that far off are findings
)

// point is what was measured at one size.
type point struct {
	Size        int     `json:"size"`
	Value       float64 `json:"value"` // in the unit of its series
	Repetitions int     `json:"reps"`  // repetitions of which this is the least (times) or the mean (counts)
}

// fit is the growth of a series: value = Factor * size^Exponent, by least squares on logarithms.
type fit struct {
	Exponent         float64 `json:"exponent"`
	Factor           float64 `json:"factor"`   // value at size 1, by the fit
	TailExponent     float64 `json:"tail"`     // exponent by the largest points alone
	TailSlope        float64 `json:"per_unit"` // slope of a straight line through the largest points, value for each unit of size
	MaxDeviation     float64 `json:"off"`      // the most that a point is off the fit, as a share of the fitted value
	MaxDeviationSize int     `json:"off_at"`   // the size where it is
	IsPowerLaw       bool    `json:"line"`     // no point is off by more than a quarter
}

// logarithms are the logarithms of those points that have any.
func logarithms(points []point) (x, y []float64) {
	for _, p := range points {
		if p.Size > 0 && p.Value > 0 {
			x, y = append(x, math.Log(float64(p.Size))), append(y, math.Log(p.Value))
		}
	}
	return x, y
}

// fitPowerLaw fits the growth; it needs two points above zero.
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

func (f fit) valueAt(size int) float64 { return f.Factor * math.Pow(float64(size), f.Exponent) }

// forecast is the value at a size: between points by the power law through them, beyond the last by the growth of the largest ones.
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

// covers tells whether a size lies within what was measured.
func (s *series) covers(size int) bool {
	return s.Points[0].Size <= size && size <= s.Points[len(s.Points)-1].Size
}

// verdict says where a line is no line.
func (f fit) verdict() string {
	if f.IsPowerLaw {
		return fmt.Sprintf("line (%.0f%% off at the most)", 100*f.MaxDeviation)
	}
	return fmt.Sprintf("NO LINE: %.0f%% off at %d, exponent %.2f at the large end", 100*f.MaxDeviation, f.MaxDeviationSize, f.TailExponent)
}
