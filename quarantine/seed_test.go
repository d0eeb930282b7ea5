package quarantine

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
