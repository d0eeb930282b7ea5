package ownership

import (
	"github.com/sirupsen/logrus"

	"bergamotstile/proptest"
)

func init() {
	proptest.FixSeed("rapid.checks", "1000", "rapid.steps", "60")
	logrus.SetLevel(logrus.ErrorLevel)
}
