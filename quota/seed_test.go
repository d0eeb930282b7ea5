package quota

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
