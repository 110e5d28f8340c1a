// Package measurecontrol measures what control costs an instance, and how that
// grows.
//
// Each experiment changes one size while the others stay, fits a straight line
// to every quantity by least squares, and extrapolates it to the target size
// with the standard error of the prediction. All instances and stand-ins share
// one process: processor time of stand-ins is within what an instance is charged,
// so the figures err upwards.
package measurecontrol
