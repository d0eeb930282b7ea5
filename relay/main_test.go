package relay

import (
	"flag"
	"os"
	"testing"
)

// propertyDefaults fix the seed of property tests and make more of them
// than the library does, unless flags say otherwise.
var propertyDefaults = map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "2000"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(propertyDefaults, f.Name) })
	for name, value := range propertyDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
