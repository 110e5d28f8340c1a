// Package measurecontrol measures the cost of the control plane for an instance and
// how it grows with the deployment.
//
// Each experiment varies one size, keeps the others constant, fits a straight line to
// every quantity by least squares, and extrapolates it to the target size with the
// standard error of the prediction. All instances and stand-ins share one process. The
// processor time of the stand-ins is attributed to the instances, so the figures are
// upper estimates.
package measurecontrol
