// Package proptest makes property tests deterministic, so that they have the same
// result in every run.
package proptest

import (
	"flag"
	"fmt"

	// Imported because it defines the flags that FixSeed sets.
	_ "pgregory.net/rapid"
)

// FixSeed sets the flags of rapid such that it uses a fixed seed and writes no
// files into the source tree. It also sets the given flags, which are alternating
// names and values. A test package calls it from init, before flags are parsed,
// so that the command line can override all of them.
func FixSeed(flags ...string) {
	flags = append([]string{"rapid.seed", "20261204", "rapid.nofailfile", "true"}, flags...)
	for i := 0; i+1 < len(flags); i += 2 {
		if err := flag.Set(flags[i], flags[i+1]); err != nil {
			panic(fmt.Sprintf("proptest: flag %s: %v", flags[i], err))
		}
	}
}
