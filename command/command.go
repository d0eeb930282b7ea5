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
	// ExitSuccess means that the command was accepted and carried out.
	ExitSuccess = 0
	// ExitFailure means that the command was refused, that it failed, that its
	// outcome is not known, or that preview has errors or findings to report.
	ExitFailure = 1
	// ExitUsageError means that the command line is wrong, that check, preview,
	// apply, submit or entry cannot read a file, or that the command is not built into
	// the program.
	ExitUsageError = 2
)

// Registry holds the functions that implement the long-running subcommands.
// Package builtin sets them. A subcommand whose function is nil fails with the
// error that it is not built in.
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

// arguments defines the subcommands of the command line. Parsing sets the field
// of the chosen subcommand and leaves the others nil.
type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry instance"`
	Serve   *ServeOptions   `arg:"subcommand:serve" help:"run an entry instance on the users' platform"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a declaration without applying it"`
	Preview *previewCommand `arg:"subcommand:preview" help:"report errors, findings and differences of a declaration before it is applied"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"apply a declaration"`
	Submit  *submitCommand  `arg:"subcommand:submit" help:"submit a work item"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the state of an instance or a work item"`
	Cancel  *cancelCommand  `arg:"subcommand:cancel" help:"cancel a work item"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell a job's story from the logs of instances"`
	Demo    *DemoOptions    `arg:"subcommand:demo" help:"run a small deployment in this process"`
	Bench   *BenchOptions   `arg:"subcommand:bench" help:"compare placement policies in virtual time"`
	Standin *standinCommand `arg:"subcommand:standin" help:"run a stand-in of an outside system"`
}

// Description returns the first line of the help text.
func (arguments) Description() string {
	return "bergamotstile schedules latency-critical requests and batch work on the same machines."
}

// subcommand is implemented by the options of each subcommand.
type subcommand interface {
	run(ctx context.Context, registry Registry, out io.Writer) error
}

// Error types that a subcommand returns. reportError returns ExitUsageError for
// a usageError and ExitFailure for every other error.
type (
	usageError   struct{ text string }
	failureError struct{ text string }
)

func (e *usageError) Error() string   { return e.text }
func (e *failureError) Error() string { return e.text }

// usageErrorf returns a usageError with a formatted text.
func usageErrorf(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// failureErrorf returns a failureError with a formatted text.
func failureErrorf(format string, args ...any) error {
	return &failureError{fmt.Sprintf(format, args...)}
}

// notBuiltInError returns the error of a subcommand whose function is missing in
// the registry.
func notBuiltInError(name string) error {
	return usageErrorf("%s is not built in", name)
}

// Run parses and executes one command line and returns the exit status. args
// does not include the name of the program.
func Run(ctx context.Context, args []string, registry Registry, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "bergamotstile", Out: errOut}, &parsed)
	if err != nil {
		panic(fmt.Sprintf("command: arguments: %v", err))
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitSuccess
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		return reportError(errOut, usageErrorf("%v", err))
	}
	selected, ok := parser.Subcommand().(subcommand)
	if !ok {
		parser.WriteUsage(errOut)
		return reportError(errOut, usageErrorf("a command is missing"))
	}
	return reportError(errOut, selected.run(ctx, registry, out))
}

// reportError prints err to errOut unless err is nil, and returns the exit status
// for err.
func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return ExitSuccess
	}
	fmt.Fprintf(errOut, "bergamotstile: %v\n", err)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		return ExitUsageError
	}
	return ExitFailure
}
