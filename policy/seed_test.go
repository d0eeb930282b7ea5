package policy

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
