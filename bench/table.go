package bench

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"bergamotstile/policy"
)

// TableOptions selects the runs of a table.
type TableOptions struct {
	Deployment string
	FirstSeed  int64
	Seeds      int
	// Policies lists what to run; empty takes all.
	Policies []string
	// Disabled switches mechanisms of the policy bergamotstile off.
	Disabled []policy.Mechanism
	// WeightsOf takes the objective weights of another deployment.
	WeightsOf string
}

// Table holds the results of several seeds, by policy and then by seed.
type Table map[string][]Result

// RunTable runs the policies on all seeds, several at a time.
func RunTable(o TableOptions) (Table, error) {
	if len(o.Policies) == 0 {
		o.Policies = Policies
	}
	table := Table{}
	var group sync.WaitGroup
	var mu sync.Mutex
	var failure error
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)-2))
	for _, name := range o.Policies {
		table[name] = make([]Result, o.Seeds)
		results := table[name]
		for i := range o.Seeds {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				result, err := Run(Options{Deployment: o.Deployment, Policy: name, Seed: o.FirstSeed + int64(i), Disabled: o.Disabled, WeightsOf: o.WeightsOf})
				mu.Lock()
				defer mu.Unlock()
				results[i] = result
				if err != nil {
					failure = err
				}
			})
		}
	}
	group.Wait()
	return table, failure
}

// measure is one column of the printed table.
type measure struct {
	name  string
	of    func(Result) float64
	worst func(a, b float64) bool // a is worse than b
	form  string
}

func higher(a, b float64) bool { return a > b }
func lower(a, b float64) bool  { return a < b }

var measures = []measure{
	{"p50_ms", func(r Result) float64 { return r.LatencyP50MS }, higher, "%.1f"},
	{"p99_ms", func(r Result) float64 { return r.LatencyP99MS }, higher, "%.1f"},
	{"p999_ms", func(r Result) float64 { return r.LatencyP999MS }, higher, "%.1f"},
	{"on_time", func(r Result) float64 { return r.OnTimeShare }, lower, "%.4f"},
	{"batch/h", func(r Result) float64 { return r.BatchPerHour }, lower, "%.1f"},
	{"core_h", func(r Result) float64 { return r.FinishedCoreHours }, lower, "%.1f"},
	{"evictions", func(r Result) float64 { return float64(r.Evictions) }, higher, "%.0f"},
	{"lost_core_h", func(r Result) float64 { return r.WorkLostCoreHours }, higher, "%.1f"},
	{"urgent_p99_s", func(r Result) float64 { return r.UrgentStartP99S }, higher, "%.2f"},
}

// Print writes medians and worst cases by policy, and the ratios that the
// targets name.
func (t Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "policy\t")
	for _, m := range measures {
		fmt.Fprintf(w, "%s\t", m.name)
	}
	fmt.Fprintln(w)
	for _, name := range Policies {
		if results, ok := t[name]; ok {
			printRow(w, name, results)
		}
	}
	t.printRatios(w)
	return w.Flush()
}

func printRow(w io.Writer, name string, results []Result) {
	fmt.Fprintf(w, "%s\t", name)
	for _, m := range measures {
		values := make([]float64, len(results))
		for i, r := range results {
			values[i] = m.of(r)
		}
		fmt.Fprintf(w, m.form+" / "+m.form+"\t", median(values), worstOf(values, m.worst))
	}
	fmt.Fprintln(w)
}

// ratio compares the policy bergamotstile with another on the same seed.
type ratio struct {
	name    string
	against string
	of      func(Result) float64
	worst   func(a, b float64) bool
}

var ratios = []ratio{
	{"p99 over separate", PolicySeparate, func(r Result) float64 { return r.LatencyP99MS }, higher},
	{"batch over best-fit", PolicyBestFit, func(r Result) float64 { return r.BatchPerHour }, lower},
	{"core hours over best-fit", PolicyBestFit, func(r Result) float64 { return r.FinishedCoreHours }, lower},
	{"evictions over threshold", PolicyThreshold, func(r Result) float64 { return float64(r.Evictions) }, higher},
}

func (t Table) printRatios(w io.Writer) {
	ours := t[PolicyBergamotstile]
	for _, q := range ratios {
		theirs, ok := t[q.against]
		if !ok || len(ours) != len(theirs) {
			continue
		}
		values := make([]float64, len(ours))
		for i := range ours {
			values[i] = q.of(ours[i]) / max(q.of(theirs[i]), 1e-9)
		}
		fmt.Fprintf(w, "%s\tmedian %.3f\tworst %.3f\n", q.name, median(values), worstOf(values, q.worst))
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func worstOf(values []float64, worse func(a, b float64) bool) float64 {
	if len(values) == 0 {
		return 0
	}
	worst := values[0]
	for _, v := range values {
		if worse(v, worst) {
			worst = v
		}
	}
	return worst
}
