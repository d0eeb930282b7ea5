// Package proptest gives property tests the same verdict in every run.
package proptest

import (
	"flag"
	"fmt"

	// Imported for its flags, which must exist before they are set.
	_ "pgregory.net/rapid"
)

// Fix sets the seed of rapid, keeps it from writing files into the source
// tree, and sets further flags given as name and value in turn. A test package
// calls it from init, before flags are parsed, so the command line still
// overrides all of them.
func Fix(flags ...string) {
	flags = append([]string{"rapid.seed", "20261204", "rapid.nofailfile", "true"}, flags...)
	for i := 0; i+1 < len(flags); i += 2 {
		if err := flag.Set(flags[i], flags[i+1]); err != nil {
			panic(fmt.Sprintf("proptest: flag %s: %v", flags[i], err))
		}
	}
}
