// Package command implements the subcommands of the bergamotstile program.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"bergamotstile/settings"
)

// Exit statuses of the program.
const (
	// ExitAccepted: what was asked for was accepted and done.
	ExitAccepted = 0
	// ExitRefused: it was refused, failed, or its outcome is not known.
	ExitRefused = 1
	// ExitMisuse: the command line is wrong or the command is not built in.
	ExitMisuse = 2
)

// Registry holds the long-running parts that main wires. A command whose
// function is nil answers that it is not built in.
type Registry struct {
	Entry           func(ctx context.Context, s *settings.Settings) error
	Serve           func(ctx context.Context, o ServeOptions, out io.Writer) error
	Demo            func(ctx context.Context, o DemoOptions, out io.Writer) error
	Bench           func(ctx context.Context, o BenchOptions, out io.Writer) error
	StandinPlatform func(ctx context.Context, o PlatformOptions, out io.Writer) error
	StandinWorker   func(ctx context.Context, o WorkerOptions, out io.Writer) error
	StandinRunner   func(ctx context.Context, o RunnerOptions, out io.Writer) error
	StandinProxy    func(ctx context.Context, o ProxyOptions, out io.Writer) error
}

// arguments is the command line.
type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry instance"`
	Serve   *ServeOptions   `arg:"subcommand:serve" help:"run an entry instance on the users' platform"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a declaration without applying it"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"apply a declaration"`
	Submit  *submitCommand  `arg:"subcommand:submit" help:"submit a work item"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the state of an instance or a work item"`
	Cancel  *cancelCommand  `arg:"subcommand:cancel" help:"cancel a work item"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell a job's story from the logs of instances"`
	Demo    *DemoOptions    `arg:"subcommand:demo" help:"run a small deployment in this process"`
	Bench   *BenchOptions   `arg:"subcommand:bench" help:"compare placement policies in virtual time"`
	Standin *standinCommand `arg:"subcommand:standin" help:"run a stand-in of an outside system"`
}

// Description is the first line of the help.
func (arguments) Description() string {
	return "bergamotstile schedules latency-critical requests and batch work on the same machines."
}

// runner is a subcommand.
type runner interface {
	run(ctx context.Context, r Registry, out io.Writer) error
}

// Error types decide the exit status.
type (
	misuseError  struct{ text string }
	refusedError struct{ text string }
)

func (e *misuseError) Error() string  { return e.text }
func (e *refusedError) Error() string { return e.text }

func misuse(format string, args ...any) error {
	return &misuseError{fmt.Sprintf(format, args...)}
}

func refused(format string, args ...any) error {
	return &refusedError{fmt.Sprintf(format, args...)}
}

func notBuiltIn(name string) error {
	return misuse("%s is not built in", name)
}

// Run executes one command line, without the program's name, and returns the
// exit status.
func Run(ctx context.Context, args []string, r Registry, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "bergamotstile", Out: errOut}, &a)
	if err != nil {
		panic(fmt.Sprintf("command: arguments: %v", err))
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitAccepted
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		return report(errOut, misuse("%v", err))
	}
	chosen, ok := parser.Subcommand().(runner)
	if !ok {
		parser.WriteUsage(errOut)
		return report(errOut, misuse("a command is missing"))
	}
	return report(errOut, chosen.run(ctx, r, out))
}

func report(errOut io.Writer, err error) int {
	if err == nil {
		return ExitAccepted
	}
	fmt.Fprintf(errOut, "bergamotstile: %v\n", err)
	var wrong *misuseError
	if errors.As(err, &wrong) {
		return ExitMisuse
	}
	return ExitRefused
}
