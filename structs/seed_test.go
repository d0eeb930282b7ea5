package structs

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
