// Command bergamotstile runs entry instances and the tools around them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bergamotstile/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args[1:], registry(), os.Stdout, os.Stderr)
}
