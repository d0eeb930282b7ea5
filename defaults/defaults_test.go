package defaults

import (
	"testing"
	"time"
)

// Guards against a default that replaces a given setting, and against a timeout
// or a bound of zero or less that is taken over as it is.
func TestSetReplacesWhatIsNotPositive(t *testing.T) {
	const value = time.Second
	for given, want := range map[time.Duration]time.Duration{-1: value, 0: value, 1: 1, time.Minute: time.Minute} {
		got := given
		if Set(&got, value); got != want {
			t.Errorf("%v: got %v, want %v", given, got, want)
		}
	}
}
