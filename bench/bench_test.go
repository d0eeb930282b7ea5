package bench

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"bergamotstile/policy"
)

// Guards against results that differ between two runs with the same seed, because
// results before and after a change could then not be compared. Also guards
// against result lines without one of the documented keys.
func TestSameSeedGivesSameResult(t *testing.T) {
	keys := []string{"deployment", "policy", "seed", "latency_p50_ms", "latency_p99_ms", "latency_p999_ms",
		"on_time_share", "batch_finished", "batch_per_hour", "evictions", "work_lost_core_hours",
		"urgent_start_p99_s", "refusals"}
	for _, d := range []string{"society", "lavigne"} {
		for _, name := range Policies {
			o := Options{Deployment: d, Policy: name, Seed: 7, Duration: 15 * time.Minute}
			first, err := Run(o)
			if err != nil {
				t.Fatal(err)
			}
			second, _ := Run(o)
			if first.Line() != second.Line() {
				t.Errorf("two runs differ:\n%s\n%s", first.Line(), second.Line())
			}
			var fields map[string]any
			if err := json.Unmarshal([]byte(first.Line()), &fields); err != nil {
				t.Fatal(err)
			}
			for _, key := range keys {
				if _, ok := fields[key]; !ok {
					t.Errorf("no key %s in %s", key, first.Line())
				}
			}
		}
	}
}

// Guards against a policy that places work beyond the declared capacity when a
// mechanism is switched off. The run panics in that case.
func TestAblatedPoliciesStayWithinCapacity(t *testing.T) {
	for _, disabled := range policy.Mechanisms {
		o := Options{Deployment: "lavigne", Policy: PolicyBergamotstile, Seed: 3, Duration: 6 * time.Minute, Disabled: []policy.Mechanism{disabled}}
		if _, err := Run(o); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against unknown names of deployments or policies that run another one
// instead of failing.
func TestUnknownNamesAreRefused(t *testing.T) {
	var out bytes.Buffer
	for _, c := range []struct{ deployment, policy string }{{"oyo", PolicyAll}, {"society", "worst-fit"}} {
		err := Main(c.deployment, c.policy, 1, &out)
		if err == nil || !strings.Contains(err.Error(), "unknown") {
			t.Errorf("%v: error %v", c, err)
		}
	}
}
