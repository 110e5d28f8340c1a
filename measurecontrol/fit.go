package measurecontrol

import "math"

// fittedLine is a straight line fitted by least squares.
type fittedLine struct {
	Intercept     float64
	Slope         float64
	R2            float64 // share of the variance that the line explains; 0 if nothing varies
	Residual      float64 // standard deviation of the residuals
	AtTarget      float64
	AtTargetError float64 // standard error of the prediction at the target
}

// fit fits a line to the points and predicts its value at target. It needs at least
// three points with different x.
func fit(x, y []float64, target float64) fittedLine {
	n := float64(len(x))
	mx, my := mean(x), mean(y)
	var sxx, sxy, syy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
		syy += (y[i] - my) * (y[i] - my)
	}
	l := fittedLine{Slope: sxy / sxx}
	l.Intercept = my - l.Slope*mx
	var rest float64
	for i := range x {
		e := y[i] - l.Intercept - l.Slope*x[i]
		rest += e * e
	}
	const parameters = 2
	l.Residual = math.Sqrt(rest / (n - parameters))
	if syy > 0 {
		l.R2 = 1 - rest/syy
	}
	l.AtTarget = l.Intercept + l.Slope*target
	l.AtTargetError = l.Residual * math.Sqrt(1+1/n+(target-mx)*(target-mx)/sxx)
	return l
}

func mean(v []float64) float64 {
	var sum float64
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
