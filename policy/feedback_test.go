package policy

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a placement limit that leaves its bounds under any
// measurements, and against one that rises while services are slower than
// intended.
func TestFeedbackStaysBoundedAndFallsWhenServicesAreSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := feedback{limitScale: 1}
		for range rapid.IntRange(1, 3000).Draw(t, "windows") {
			f.addWindow(rapid.Float64Range(-1, 5).Draw(t, "excess"), 1)
			before := f.limitScale
			f.adjust(0.2)
			if f.limitScale < scaleMin || f.limitScale > scaleMax {
				t.Fatalf("limit scale %.3f is out of bounds", f.limitScale)
			}
			if f.meanExcess > 0.2 && f.limitScale > before {
				t.Fatalf("placement limit rises at a mean excess slowdown of %.2f", f.meanExcess)
			}
		}
	})
}
