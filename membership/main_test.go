package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests. Their faults need several
// steps in a row, so they take more and longer runs than rapid's default.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
