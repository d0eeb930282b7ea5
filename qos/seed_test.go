package qos

import "bergamotstile/proptest"

func init() { proptest.FixSeed() }
