package scheduler

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
