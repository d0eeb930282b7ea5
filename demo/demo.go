// Package demo runs a small deployment in one process: stand-ins for the platform,
// workers and runners, which are HTTP servers on the loopback address, and entry
// instances. It sends requests and work items through the caller API. It then
// checks the run against the answers that callers received and against the events
// that the workers and runners recorded themselves.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/declaration"
	"bergamotstile/examples"
	"bergamotstile/logging"
	"bergamotstile/settings"
)

// Options configures a run.
type Options struct {
	// Declaration is the declaration of the deployment, encoded as JSON. If it is
	// empty, examples.Society is used.
	Declaration []byte
	Seed        int64
	// Verbose makes the instances log at level info instead of level error.
	Verbose bool
}

// runTimeout bounds the duration of a run, in case it makes no progress.
const runTimeout = 55 * time.Second

// Main runs the demo and prints its progress and a table of measurements. It returns
// an error if the demo cannot run or if a check fails.
func Main(ctx context.Context, o Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	file := o.Declaration
	if len(file) == 0 {
		file = examples.Society
	}
	d, err := decodeAndCheck(file)
	if err != nil {
		return fmt.Errorf("declaration is refused: %w", err)
	}
	plan, err := newPlan(d)
	if err != nil {
		return err
	}
	cluster, err := startCluster(ctx, d, uint64(o.Seed), newLogger(o.Verbose))
	if err != nil {
		return err
	}
	defer cluster.stopAll()
	run := &run{cluster: cluster, plan: plan, declarationFile: file, seed: o.Seed, out: out, startedAt: time.Now()}
	return run.execute(ctx)
}

// decodeAndCheck decodes a declaration and checks it against the default limits.
func decodeAndCheck(file []byte) (*declaration.Deployment, error) {
	d, err := declaration.Decode(file)
	if err != nil {
		return nil, err
	}
	return d, d.Check(settings.Default().Limits())
}

// newLogger returns the logger of the instances, which writes to stderr.
func newLogger(verbose bool) *logrus.Logger {
	if verbose {
		return logging.New(os.Stderr, logrus.InfoLevel)
	}
	return logging.New(os.Stderr, logrus.ErrorLevel)
}
