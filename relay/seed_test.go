package relay

import "bergamotstile/proptest"

func init() { proptest.Fix("rapid.checks", "2000") }
