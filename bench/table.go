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
	// Policies names the policies to run; empty means all.
	Policies []string
	// Disabled lists the mechanisms of the policy bergamotstile that are switched
	// off.
	Disabled []policy.Mechanism
	// WeightsOf names the deployment whose objective weights are used; empty means
	// those of Deployment.
	WeightsOf string
}

// Table holds the results of several seeds, by policy name and then in the order
// of the seeds.
type Table map[string][]Result

// RunTable runs the policies on all seeds. It keeps two processors free for other
// programs and otherwise uses all of them, but always at least one.
func RunTable(o TableOptions) (Table, error) {
	if len(o.Policies) == 0 {
		o.Policies = Policies
	}
	table := Table{}
	var runs sync.WaitGroup
	var mu sync.Mutex
	var runErr error
	permits := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)-2))
	for _, name := range o.Policies {
		table[name] = make([]Result, o.Seeds)
		results := table[name]
		for i := range o.Seeds {
			runs.Go(func() {
				permits <- struct{}{}
				defer func() { <-permits }()
				result, err := Run(Options{Deployment: o.Deployment, Policy: name, Seed: o.FirstSeed + int64(i), Disabled: o.Disabled, WeightsOf: o.WeightsOf})
				mu.Lock()
				defer mu.Unlock()
				results[i] = result
				if err != nil {
					runErr = err
				}
			})
		}
	}
	runs.Wait()
	return table, runErr
}

// tableColumn is one column of the printed table.
type tableColumn struct {
	name    string
	value   func(Result) float64
	isWorse func(a, b float64) bool // a is worse than b
	format  string
}

// isHigher and isLower are the orders in which a measure gets worse.
func isHigher(a, b float64) bool { return a > b }
func isLower(a, b float64) bool  { return a < b }

// tableColumns lists the columns after the name of the policy or mechanism.
var tableColumns = []tableColumn{
	{"p50_ms", func(r Result) float64 { return r.LatencyP50MS }, isHigher, "%.1f"},
	{"p99_ms", func(r Result) float64 { return r.LatencyP99MS }, isHigher, "%.1f"},
	{"p999_ms", func(r Result) float64 { return r.LatencyP999MS }, isHigher, "%.1f"},
	{"on_time", func(r Result) float64 { return r.OnTimeShare }, isLower, "%.4f"},
	{"batch/h", func(r Result) float64 { return r.BatchPerHour }, isLower, "%.1f"},
	{"core_h", func(r Result) float64 { return r.FinishedCoreHours }, isLower, "%.1f"},
	{"evictions", func(r Result) float64 { return float64(r.Evictions) }, isHigher, "%.0f"},
	{"lost_core_h", func(r Result) float64 { return r.WorkLostCoreHours }, isHigher, "%.1f"},
	{"urgent_p99_s", func(r Result) float64 { return r.UrgentStartP99S }, isHigher, "%.2f"},
}

// Print prints the median and the worst case of each column by policy, and then
// the comparisons, for which the project has targets.
func (t Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "policy\t")
	for _, column := range tableColumns {
		fmt.Fprintf(w, "%s\t", column.name)
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

// printRow prints the median and the worst case of each column.
func printRow(w io.Writer, name string, results []Result) {
	fmt.Fprintf(w, "%s\t", name)
	for _, column := range tableColumns {
		values := make([]float64, len(results))
		for i, r := range results {
			values[i] = column.value(r)
		}
		fmt.Fprintf(w, column.format+" / "+column.format+"\t", median(values), worstOf(values, column.isWorse))
	}
	fmt.Fprintln(w)
}

// comparison is a ratio of a measure of the policy bergamotstile to the same
// measure of another policy on the same seed.
type comparison struct {
	name        string
	otherPolicy string
	value       func(Result) float64
	isWorse     func(a, b float64) bool
}

// comparisons lists the comparisons that Print prints.
var comparisons = []comparison{
	{"p99 over separate", PolicySeparate, func(r Result) float64 { return r.LatencyP99MS }, isHigher},
	{"batch over best-fit", PolicyBestFit, func(r Result) float64 { return r.BatchPerHour }, isLower},
	{"core hours over best-fit", PolicyBestFit, func(r Result) float64 { return r.FinishedCoreHours }, isLower},
	{"evictions over threshold", PolicyThreshold, func(r Result) float64 { return float64(r.Evictions) }, isHigher},
}

// printRatios prints the median and the worst ratio of each comparison. It leaves
// out comparisons with a policy that was not run.
func (t Table) printRatios(w io.Writer) {
	own := t[PolicyBergamotstile]
	for _, c := range comparisons {
		other, ok := t[c.otherPolicy]
		if !ok || len(own) != len(other) {
			continue
		}
		values := make([]float64, len(own))
		for i := range own {
			values[i] = c.value(own[i]) / max(c.value(other[i]), 1e-9)
		}
		fmt.Fprintf(w, "%s\tmedian %.3f\tworst %.3f\n", c.name, median(values), worstOf(values, c.isWorse))
	}
}

// median returns the median of the values, or 0 without values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// worstOf returns the worst of the values, or 0 without values.
func worstOf(values []float64, isWorse func(a, b float64) bool) float64 {
	if len(values) == 0 {
		return 0
	}
	worst := values[0]
	for _, v := range values {
		if isWorse(v, worst) {
			worst = v
		}
	}
	return worst
}
