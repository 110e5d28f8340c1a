package unit

// Fallback sets *v to value if *v is zero. In settings, zero means the default.
func Fallback[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
