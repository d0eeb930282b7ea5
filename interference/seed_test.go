package interference

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
