package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
)

// How the table's reachability is judged.
const (
	tableProbeInterval = 500 * time.Millisecond
	tableProbeTimeout  = 400 * time.Millisecond
	tableProbeKey      = "config/head"
)

// tableMonitor passes calls to the table and keeps whether it is reachable.
type tableMonitor struct {
	platform.Table
	clock clockwork.Clock
	up    atomic.Bool
}

func newTableMonitor(table platform.Table, clock clockwork.Clock) *tableMonitor {
	return &tableMonitor{Table: table, clock: clock}
}

// Up reports whether the last call that tells reached the table.
func (t *tableMonitor) Up() bool {
	return t.up.Load()
}

// Serve reads one row at an interval, so that reachability is known without
// other traffic.
func (t *tableMonitor) Serve(ctx context.Context) error {
	for {
		probe, cancel := context.WithTimeout(ctx, tableProbeTimeout)
		_, err := t.Table.Read(probe, tableProbeKey)
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

// Commit passes a transaction on. A conflict is an answer, so it shows that
// the table is reachable.
func (t *tableMonitor) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	result, err := t.Table.Commit(ctx, tx)
	var conflict *platform.ConflictError
	if err == nil || errors.As(err, &conflict) {
		t.up.Store(true)
	}
	return result, err
}
