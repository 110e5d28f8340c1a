package unit

// Fallback sets *v to value if it is zero, which in settings means that the
// default is wanted.
func Fallback[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
