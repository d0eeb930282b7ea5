package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
)

// Interval, time-out and key of the reads by which tableMonitor probes the table. The row
// need not exist, since any successful read shows that the table answers.
const (
	tableProbeInterval = 500 * time.Millisecond
	tableProbeTimeout  = 400 * time.Millisecond
	tableProbeKey      = "config/head"
)

// tableMonitor passes calls to the table if the last probe has reached it. Otherwise it
// refuses them without sending them, so that its users do not wait for time-outs and can
// send the call through a peer at once.
type tableMonitor struct {
	table platform.Table
	clock clockwork.Clock
	up    atomic.Bool
}

func newTableMonitor(table platform.Table, clock clockwork.Clock) *tableMonitor {
	return &tableMonitor{table: table, clock: clock}
}

// Up reports whether the last probe reached the table.
func (t *tableMonitor) Up() bool {
	return t.up.Load()
}

// Serve probes the table at each tableProbeInterval by reading one row, so that Up stays
// current even when no other calls are made.
func (t *tableMonitor) Serve(ctx context.Context) error {
	for {
		probeCtx, cancel := context.WithTimeout(ctx, tableProbeTimeout)
		_, err := t.table.Read(probeCtx, tableProbeKey)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		t.up.Store(err == nil)
		select {
		case <-ctx.Done():
			return nil
		case <-t.clock.After(tableProbeInterval):
		}
	}
}

func (t *tableMonitor) unavailableError() error {
	return fmt.Errorf("table did not answer the last probe: %w", platform.ErrUnavailable)
}

// Read returns the existing rows with the given keys.
func (t *tableMonitor) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if !t.Up() {
		return nil, t.unavailableError()
	}
	return t.table.Read(ctx, keys...)
}

// Scan returns at most limit rows with the prefix and a key above after.
func (t *tableMonitor) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if !t.Up() {
		return nil, t.unavailableError()
	}
	return t.table.Scan(ctx, prefix, after, limit)
}

// Commit applies a transaction.
func (t *tableMonitor) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	if !t.Up() {
		return platform.CommitResult{}, t.unavailableError()
	}
	return t.table.Commit(ctx, tx)
}
