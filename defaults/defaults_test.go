package defaults

import (
	"testing"
	"time"
)

// Guards against a default that replaces a valid setting, and against a timeout
// or a limit of zero or less that is not replaced.
func TestSetReplacesOnlyNonPositiveValues(t *testing.T) {
	const defaultValue = time.Second
	for given, want := range map[time.Duration]time.Duration{-1: defaultValue, 0: defaultValue, 1: 1, time.Minute: time.Minute} {
		got := given
		if Set(&got, defaultValue); got != want {
			t.Errorf("%v: got %v, want %v", given, got, want)
		}
	}
}
