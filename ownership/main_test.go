package ownership

import (
	"flag"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// propertyDefaults fix the seed of property tests and make their runs longer
// than those of the library, unless flags say otherwise.
var propertyDefaults = map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "1000", "rapid.steps": "60"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(propertyDefaults, f.Name) })
	for name, value := range propertyDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}
