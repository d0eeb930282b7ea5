package membership

import "bergamotstile/proptest"

func init() { proptest.Fix("rapid.checks", "400", "rapid.steps", "120") }
