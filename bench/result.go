package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"

	"bergamotstile/structs"
)

// Result holds what one run measured.
type Result struct {
	Deployment        string                 `json:"deployment"`
	Policy            string                 `json:"policy"`
	Seed              int64                  `json:"seed"`
	LatencyP50MS      float64                `json:"latency_p50_ms"`
	LatencyP99MS      float64                `json:"latency_p99_ms"`
	LatencyP999MS     float64                `json:"latency_p999_ms"`
	OnTimeShare       float64                `json:"on_time_share"`
	BatchFinished     int                    `json:"batch_finished"`
	BatchPerHour      float64                `json:"batch_per_hour"`
	Evictions         int                    `json:"evictions"`
	WorkLostCoreHours float64                `json:"work_lost_core_hours"`
	UrgentStartP99S   float64                `json:"urgent_start_p99_s"`
	Refusals          map[structs.Reason]int `json:"refusals"`

	// FinishedCoreHours is the sum of the real work of the finished jobs, in core
	// hours. It shows whether a policy finishes more jobs by preferring small
	// ones.
	FinishedCoreHours float64 `json:"-"`
}

// count adds a finished job to the result.
func (r *Result) count(j *job) {
	r.BatchFinished++
	r.FinishedCoreHours += j.workCoreS / 3600
}

// Line returns the result as one line of JSON, without a newline.
func (r Result) Line() string {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Sprintf("{\"error\":%q}", err)
	}
	return string(data)
}

// summarise returns the result of a run that has ended.
func (r *run) summarise() Result {
	path := r.requestPath
	result := r.result
	latencyMS := func(percentile float64) float64 {
		return math.Round(float64(path.latency.ValueAtQuantile(percentile))/10) / 100
	}
	result.LatencyP50MS, result.LatencyP99MS, result.LatencyP999MS = latencyMS(50), latencyMS(99), latencyMS(99.9)
	result.OnTimeShare = roundTo(float64(path.onTime)/float64(max(1, path.answered+path.refused)), 5)
	result.BatchPerHour = roundTo(float64(result.BatchFinished)/r.options.Duration.Hours(), 2)
	result.WorkLostCoreHours = roundTo(result.WorkLostCoreHours, 3)
	result.UrgentStartP99S = r.urgentStartP99S()
	if path.refused > 0 {
		result.Refusals[structs.ReasonDeadlineUnreachable] = path.refused
	}
	return result
}

// urgentStartP99S returns the 99th percentile of the time from the arrival of an
// urgent job to its start, in seconds. A queued job that has not started counts
// with the time that it has waited so far.
func (r *run) urgentStartP99S() float64 {
	waits := slices.Clone(r.urgentStartWaitsS)
	for _, j := range r.queue {
		if j.item.Class == structs.ClassUrgent && !j.hasStarted {
			waits = append(waits, (r.now - j.arrivesAt).Seconds())
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return roundTo(waits[int(math.Ceil(0.99*float64(len(waits))))-1], 3)
}

// roundTo rounds x to the given number of decimal digits.
func roundTo(x float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(x*scale) / scale
}

// Main runs the named policy, or all policies one after the other if it is
// PolicyAll, and prints the result of each as a line of JSON.
func Main(deployment, policy string, seed int64, out io.Writer) error {
	names := []string{policy}
	if policy == PolicyAll {
		names = Policies
	}
	for _, name := range names {
		result, err := Run(Options{Deployment: deployment, Policy: name, Seed: seed})
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, result.Line()); err != nil {
			return fmt.Errorf("bench: print the result: %w", err)
		}
	}
	return nil
}
