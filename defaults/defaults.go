// Package defaults replaces missing settings with their defaults.
package defaults

// Set replaces a setting of zero or less with its default.
func Set[T ~int | ~int64](setting *T, defaultValue T) {
	if *setting <= 0 {
		*setting = defaultValue
	}
}
