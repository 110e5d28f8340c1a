package measurecontrol

import (
	"math"
	"testing"
)

// TestFit compares fits with values calculated by hand.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name   string
		y      []float64
		target float64
		want   fittedLine
	}{
		{"points on a line", []float64{3, 5, 7}, 101, fittedLine{Intercept: 1, Slope: 2, R2: 1, AtTarget: 203}},
		{"constant points", []float64{4, 4, 4}, 10, fittedLine{Intercept: 4, AtTarget: 4}},
		{"points off the line", []float64{1, 4, 1}, 2, fittedLine{
			Intercept: 2, R2: 0, Residual: math.Sqrt(6), AtTarget: 2,
			AtTargetError: math.Sqrt(6) * math.Sqrt(4.0/3),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := fit([]float64{1, 2, 3}, c.y, c.target)
			for _, v := range [][2]float64{
				{got.Intercept, c.want.Intercept},
				{got.Slope, c.want.Slope},
				{got.R2, c.want.R2},
				{got.Residual, c.want.Residual},
				{got.AtTarget, c.want.AtTarget},
				{got.AtTargetError, c.want.AtTargetError},
			} {
				if math.Abs(v[0]-v[1]) > 1e-9 {
					t.Errorf("got %+v, want %+v", got, c.want)
				}
			}
		})
	}
}
