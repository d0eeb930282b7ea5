// Command bergamotstile runs entry instances and the tools around them.
package main

import (
	"os"

	"bergamotstile/builtin"
)

func main() {
	os.Exit(builtin.Main(os.Args[1:]))
}
