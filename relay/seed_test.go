package relay

import "bergamotstile/proptest"

func init() { proptest.FixSeed("rapid.checks", "2000") }
