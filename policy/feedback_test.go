package policy

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a limit that runs away under any measurements, and against
// one that rises while services are slower than aimed at.
func TestFeedbackStaysBoundedAndFallsWhenServicesAreSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := feedback{scale: 1}
		for range rapid.IntRange(1, 3000).Draw(t, "windows") {
			f.measured(rapid.Float64Range(-1, 5).Draw(t, "excess"), 1)
			before := f.scale
			f.adjust(0.2)
			if f.scale < scaleMin || f.scale > scaleMax {
				t.Fatalf("scale %.3f", f.scale)
			}
			if f.mean > 0.2 && f.scale > before {
				t.Fatalf("limit rises at a mean excess of %.2f", f.mean)
			}
		}
	})
}
