package ownership

import (
	"flag"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestMain fixes the seed of property tests unless -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}
