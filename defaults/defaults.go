// Package defaults fills in settings that were left out.
package defaults

// Set replaces a setting that is not positive by its default.
func Set[T ~int | ~int64](setting *T, value T) {
	if *setting <= 0 {
		*setting = value
	}
}
