// Command benchtable runs the policy bench on many seeds and prints medians and
// worst cases, either for each policy or for each switched-off mechanism. It is
// a tool for developers and is not part of the program bergamotstile.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"bergamotstile/bench"
	"bergamotstile/policy"
	"github.com/alexflint/go-arg"
)

// options defines the command line.
type options struct {
	Deployment string   `arg:"--deployment" default:"society" help:"society or lavigne"`
	Seeds      int      `arg:"--seeds" default:"24" help:"number of seeds"`
	FirstSeed  int64    `arg:"--first-seed" default:"1"`
	Policy     []string `arg:"--policy,separate" help:"policies to run; all if absent"`
	Disable    []string `arg:"--disable,separate" help:"mechanisms to switch off"`
	WeightsOf  string   `arg:"--weights-of" help:"take the objective weights of this deployment"`
	Ablations  bool     `arg:"--ablations" help:"run the policy with each mechanism switched off in turn"`
}

// gcPercent is the growth of the heap, in percent, that starts a garbage
// collection. The heap of a run is only a few megabytes, so the default would
// start collections all the time.
const gcPercent = 2000

func main() {
	debug.SetGCPercent(gcPercent)
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the table of ablations or the table of policies.
func run(o options) error {
	tableOptions := bench.TableOptions{Deployment: o.Deployment, FirstSeed: o.FirstSeed, Seeds: o.Seeds, Policies: o.Policy, WeightsOf: o.WeightsOf}
	for _, name := range o.Disable {
		tableOptions.Disabled = append(tableOptions.Disabled, policy.Mechanism(name))
	}
	if o.Ablations {
		return bench.PrintAblations(tableOptions, os.Stdout)
	}
	table, err := bench.RunTable(tableOptions)
	if err != nil {
		return err
	}
	return table.Print(os.Stdout)
}
