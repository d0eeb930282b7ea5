// Package demo runs a deployment in one process on loopback: stand-ins of the
// platform, workers and runners behind HTTP, and entry instances. It sends
// load and work through the caller API and judges the run by what callers
// were told and by what workers and runners recorded themselves.
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
	// Declaration is the file of the deployment; the Society's if empty.
	Declaration []byte
	Seed        int64
	// Verbose logs what the instances do, not only their errors.
	Verbose bool
}

// runTimeout ends a run that makes no progress.
const runTimeout = 55 * time.Second

// Main runs the demo, prints its table and returns an error if a check fails.
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

func decodeAndCheck(file []byte) (*declaration.Deployment, error) {
	d, err := declaration.Decode(file)
	if err != nil {
		return nil, err
	}
	return d, d.Check(settings.Default().Limits())
}

func newLogger(verbose bool) *logrus.Logger {
	if verbose {
		return logging.New(os.Stderr, logrus.InfoLevel)
	}
	return logging.New(os.Stderr, logrus.ErrorLevel)
}
