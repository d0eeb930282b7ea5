package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"

	"bergamotstile/structs"
)

// Result is what one run measured.
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

	// FinishedCoreHours is the true work of the finished jobs. It shows
	// whether a policy finishes more jobs by preferring small ones.
	FinishedCoreHours float64 `json:"-"`
}

func (r *Result) count(j *job) {
	r.BatchFinished++
	r.FinishedCoreHours += j.work / 3600
}

// Line returns the result as one line of JSON.
func (r Result) Line() string {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Sprintf("{\"error\":%q}", err)
	}
	return string(data)
}

func (r *run) finish() Result {
	q := r.path
	res := r.result
	ms := func(percentile float64) float64 {
		return math.Round(float64(q.latency.ValueAtQuantile(percentile))/10) / 100
	}
	res.LatencyP50MS, res.LatencyP99MS, res.LatencyP999MS = ms(50), ms(99), ms(99.9)
	res.OnTimeShare = round(float64(q.onTime)/float64(max(1, q.answered+q.refused)), 5)
	res.BatchPerHour = round(float64(res.BatchFinished)/r.options.Duration.Hours(), 2)
	res.WorkLostCoreHours = round(res.WorkLostCoreHours, 3)
	res.UrgentStartP99S = r.urgentP99()
	if q.refused > 0 {
		res.Refusals[structs.ReasonDeadlineUnreachable] = q.refused
	}
	return res
}

// urgentP99 counts urgent work that never started with the time it waited.
func (r *run) urgentP99() float64 {
	waits := slices.Clone(r.urgent)
	for _, j := range r.queue {
		if j.item.Class == structs.ClassUrgent && !j.started {
			waits = append(waits, (r.now - j.arrive).Seconds())
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return round(waits[int(math.Ceil(0.99*float64(len(waits))))-1], 3)
}

func round(x float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(x*scale) / scale
}

// Main runs one policy, or each in turn, and prints a line for each.
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
