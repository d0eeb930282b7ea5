package membership

import "bergamotstile/proptest"

func init() { proptest.FixSeed("rapid.checks", "400", "rapid.steps", "120") }
