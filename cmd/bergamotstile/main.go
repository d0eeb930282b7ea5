// Command bergamotstile runs entry instances and the tools around them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bergamotstile/builtin"
	"bergamotstile/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args[1:], builtin.Registry(), os.Stdout, os.Stderr)
}
