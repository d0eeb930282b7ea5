// Command bergamotstile runs an entry instance, the commands with which operators
// use one, the demo, the policy bench, or a stand-in for an outside system.
package main

import (
	"os"

	"bergamotstile/builtin"
)

func main() {
	os.Exit(builtin.Main(os.Args[1:]))
}
