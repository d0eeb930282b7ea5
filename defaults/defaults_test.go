package defaults

import (
	"testing"
	"time"
)

// Guards against a default that replaces a valid setting, and against a timeout
// or a limit of zero or less that is not replaced.
func TestSetReplacesOnlyNonPositiveValues(t *testing.T) {
	const value = time.Second
	for given, want := range map[time.Duration]time.Duration{-1: value, 0: value, 1: 1, time.Minute: time.Minute} {
		got := given
		if Set(&got, value); got != want {
			t.Errorf("%v: got %v, want %v", given, got, want)
		}
	}
}
