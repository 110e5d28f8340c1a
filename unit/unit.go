// Package unit defines quantities that are encoded as text with their unit.
package unit

import (
	"time"

	"github.com/zeebo/errs"
)

// Duration is a time.Duration that JSON encodes with its unit, as in "250ms".
type Duration time.Duration

// MarshalText returns d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the form of time.ParseDuration. It returns an error if the
// text is malformed, has no unit or is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errs.New("duration %q: want a number with a unit, as in 250ms or 16s", text)
	}
	if v < 0 {
		return errs.New("duration %q: want no negative value", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
