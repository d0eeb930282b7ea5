package jobs

import "bergamotstile/proptest"

func init() {
	proptest.FixSeed()
}
