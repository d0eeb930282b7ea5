// Package builtin connects the subcommands of the program with the packages that
// implement them.
package builtin

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"bergamotstile/bench"
	"bergamotstile/command"
	"bergamotstile/demo"
	"bergamotstile/entry"
	"bergamotstile/httpserver"
	"bergamotstile/logging"
	"bergamotstile/platform/hosted"
	"bergamotstile/settings"
	"bergamotstile/signals"
	"bergamotstile/standin"
)

// Main runs one command line and returns the exit status. args does not include
// the name of the program. SIGINT and SIGTERM cancel the context of the command,
// which requests a graceful stop. Their handler is never removed, so that a second
// signal does not cut the end of a graceful stop short. SIGHUP ends only commands that
// serve nothing; package signals handles it for the others.
func Main(args []string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stops
		cancel()
	}()
	if !isInstance(args) {
		signals.RestoreHangup()
	}
	return command.Run(ctx, args, Registry(), os.Stdout, os.Stderr)
}

// isInstance reports whether a command line runs an entry instance.
func isInstance(args []string) bool {
	return len(args) > 0 && (args[0] == "entry" || args[0] == "serve")
}

// Registry returns the functions that implement the long-running subcommands.
func Registry() command.Registry {
	return command.Registry{
		Entry:           runEntry,
		Serve:           runServe,
		Demo:            runDemo,
		Bench:           runBench,
		StandinPlatform: runStandinPlatform,
		StandinWorker:   runStandinWorker,
		StandinRunner:   runStandinRunner,
		StandinProxy:    runStandinProxy,
	}
}

func runEntry(ctx context.Context, s *settings.Settings) error {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(httpserver.HeapLimit(s.MemoryMB << 20))
	}
	log := logging.New(os.Stderr, logrus.InfoLevel)
	done := make(chan struct{})
	defer close(done)
	go logHangups(logging.ForComponent(log, "entry"), signals.Hangups(), done)
	return entry.New(s, log).Run(ctx)
}

// logHangups logs each SIGHUP until done is closed. An entry instance reads its settings
// only when it starts.
func logHangups(log logrus.FieldLogger, hangups <-chan os.Signal, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-hangups:
			log.Info("SIGHUP ignored, settings are read only at the start")
		}
	}
}

func runServe(ctx context.Context, o command.ServeOptions, out io.Writer) error {
	level, err := logrus.ParseLevel(o.LogLevel)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	log, _ := logging.NewStructured(out, level)
	return hosted.Run(ctx, o.Settings, log)
}

func runDemo(ctx context.Context, o command.DemoOptions, out io.Writer) error {
	options := demo.Options{Seed: o.Seed, Verbose: o.Verbose}
	if o.Declaration != "" {
		file, err := os.ReadFile(o.Declaration)
		if err != nil {
			return fmt.Errorf("declaration: %w", err)
		}
		options.Declaration = file
	}
	return demo.Main(ctx, options, out)
}

func runBench(_ context.Context, o command.BenchOptions, out io.Writer) error {
	return bench.Main(o.Deployment, o.Policy, o.Seed, out)
}

func runStandinPlatform(ctx context.Context, o command.PlatformOptions, _ io.Writer) error {
	return standin.RunPlatform(ctx, standin.PlatformArgs{Address: o.Listen, Seed: o.Seed, ListLagMS: o.ListLagMS})
}

func runStandinWorker(ctx context.Context, o command.WorkerOptions, _ io.Writer) error {
	return standin.RunWorker(ctx, standin.WorkerArgs{
		Address: o.Listen, Name: o.Name, Domain: o.Domain, Rack: o.Rack, Platform: o.Platform,
		CPUMilli: o.CPUMilli, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators, UsageLagMS: o.UsageLagMS, Unlisted: o.Unlisted,
	})
}

func runStandinRunner(ctx context.Context, o command.RunnerOptions, _ io.Writer) error {
	return standin.RunRunner(ctx, standin.RunnerArgs{
		Address: o.Listen, Name: o.Name, Domain: o.Domain, Service: o.Service, Platform: o.Platform,
		Slots: o.Slots, ServiceMS: o.ServiceMS, Seed: o.Seed, Unlisted: o.Unlisted,
	})
}

func runStandinProxy(ctx context.Context, o command.ProxyOptions, _ io.Writer) error {
	return standin.RunProxy(ctx, standin.ProxyArgs{Address: o.Listen, Target: o.Target, Control: o.Control})
}
