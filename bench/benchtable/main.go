// Command benchtable prints medians and worst cases of the policy bench over
// many seeds, and the ablations. It is a tool for developers and no part of
// the binary that ships.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"bergamotstile/bench"
	"bergamotstile/policy"
	"github.com/alexflint/go-arg"
)

type options struct {
	Deployment string   `arg:"--deployment" default:"society" help:"society or lavigne"`
	Seeds      int      `arg:"--seeds" default:"24" help:"number of seeds"`
	FirstSeed  int64    `arg:"--first-seed" default:"1"`
	Policy     []string `arg:"--policy,separate" help:"policies to run; all if absent"`
	Disable    []string `arg:"--disable,separate" help:"mechanisms to switch off"`
	WeightsOf  string   `arg:"--weights-of" help:"take the objective weights of this deployment"`
	Ablations  bool     `arg:"--ablations" help:"run the policy with each mechanism switched off in turn"`
}

// collectAt is the growth of the heap in percent before a collection. The heap
// of a run is a few megabytes, so the default would collect all the time.
const collectAt = 2000

func main() {
	debug.SetGCPercent(collectAt)
	var o options
	arg.MustParse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	table := bench.TableOptions{Deployment: o.Deployment, FirstSeed: o.FirstSeed, Seeds: o.Seeds, Policies: o.Policy, WeightsOf: o.WeightsOf}
	for _, name := range o.Disable {
		table.Disabled = append(table.Disabled, policy.Mechanism(name))
	}
	if o.Ablations {
		return bench.PrintAblations(table, os.Stdout)
	}
	results, err := bench.RunTable(table)
	if err != nil {
		return err
	}
	return results.Print(os.Stdout)
}
