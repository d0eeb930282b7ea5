package lifecycle

import (
	"github.com/sirupsen/logrus"

	"bergamotstile/proptest"
)

func init() {
	proptest.FixSeed("rapid.checks", "500", "rapid.steps", "120")
	logrus.SetLevel(logrus.ErrorLevel)
}
