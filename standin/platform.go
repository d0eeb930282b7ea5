package standin

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
)

// ComponentFaults are the injected faults of one component of the platform: the
// table, the object store or the membership list.
type ComponentFaults struct {
	// Down refuses every call. A refused call has no effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every call before it takes effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswer drops the answer to a call. A write whose answer is dropped has
	// taken effect, unless one of its conditions did not hold.
	LoseAnswer FaultTrigger `json:"lose_answer,omitzero"`
	// LoseRequest drops a call before it takes effect. The caller cannot
	// distinguish this from a lost answer.
	LoseRequest FaultTrigger `json:"lose_request,omitzero"`
}

// PlatformFaults are the injected faults of the platform, by component.
type PlatformFaults struct {
	Table   ComponentFaults `json:"table,omitzero"`
	Objects ComponentFaults `json:"objects,omitzero"`
	List    ComponentFaults `json:"list,omitzero"`
	// ListLagMS is the age of the membership list that List returns, in
	// milliseconds.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
}

// Platform is an in-memory stand-in of the platform with a transactional table,
// an object store and a membership list. It implements platform.Table,
// platform.ObjectStore and platform.MembershipList.
type Platform struct {
	clock     clockwork.Clock
	startedAt time.Time

	mu            sync.Mutex
	faultInjector *faultInjector
	faults        PlatformFaults
	lastVersion   uint64
	rows          map[string]platform.Row
	objects       map[string][]byte
	members       memberList
	commits       int64
	reads         int64
}

var (
	_ platform.Table          = (*Platform)(nil)
	_ platform.ObjectStore    = (*Platform)(nil)
	_ platform.MembershipList = (*Platform)(nil)
)

// NewPlatform returns an empty platform. Random faults are drawn from a generator
// with this seed.
func NewPlatform(clock clockwork.Clock, seed uint64) *Platform {
	return &Platform{
		clock:         clock,
		startedAt:     clock.Now(),
		faultInjector: newFaultInjector(seed),
		rows:          map[string]platform.Row{},
		objects:       map[string][]byte{},
		members:       newMemberList(clock.Now()),
	}
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults that the platform injects, with the remaining
// number of NextCalls in each trigger.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// PlatformStats counts the commits that were applied, the reads and scans of the
// table and the reads of the list, and the rows and objects that exist.
type PlatformStats struct {
	Commits int64 `json:"commits"`
	Reads   int64 `json:"reads"`
	Rows    int   `json:"rows"`
	Objects int   `json:"objects"`
}

// Stats returns the current counts.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformStats{Commits: p.commits, Reads: p.reads, Rows: len(p.rows), Objects: len(p.objects)}
}

// drawnFaults are the faults that injectFaults selected for one call and that are
// injected after the call took effect.
type drawnFaults struct {
	loseAnswer bool
}

// injectFaults decides which of a component's faults affect one call. It injects
// those that come before the call takes effect: refusal, delay and loss of the
// request. If it returns an error, the call must not take effect. The error wraps
// platform.ErrUnavailable if the call is refused, and lostErr if the request is lost
// or ctx ends before or during the delay. The caller of injectFaults injects the
// returned faults after the call took effect.
func (p *Platform) injectFaults(ctx context.Context, component func(*PlatformFaults) *ComponentFaults, lostErr error) (drawnFaults, error) {
	p.mu.Lock()
	faults := component(&p.faults)
	down, delay := faults.Down, millis(faults.SlowMS)
	loseRequest := !down && p.faultInjector.shouldInject(&faults.LoseRequest)
	drawn := drawnFaults{loseAnswer: !down && !loseRequest && p.faultInjector.shouldInject(&faults.LoseAnswer)}
	p.mu.Unlock()
	if down {
		return drawn, fmt.Errorf("%w: fault injected", platform.ErrUnavailable)
	}
	if err := p.wait(ctx, delay); err != nil {
		return drawn, fmt.Errorf("%w: %w", lostErr, err)
	}
	if loseRequest {
		return drawn, fmt.Errorf("%w: request lost by fault", lostErr)
	}
	return drawn, nil
}

// wait waits for d. It returns the error of ctx if ctx ends first.
func (p *Platform) wait(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil || d <= 0 {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.clock.After(d):
		return nil
	}
}

// The following functions select the faults of one component for injectFaults.

func tableFaultsOf(f *PlatformFaults) *ComponentFaults          { return &f.Table }
func objectStoreFaultsOf(f *PlatformFaults) *ComponentFaults    { return &f.Objects }
func membershipListFaultsOf(f *PlatformFaults) *ComponentFaults { return &f.List }

// Read returns the rows that exist among keys, in the order of keys.
func (p *Platform) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	drawn, err := p.injectFaults(ctx, tableFaultsOf, platform.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []platform.Row{}
	for _, key := range keys {
		if row, ok := p.rows[key]; ok {
			rows = append(rows, copyRow(row))
		}
	}
	return rows, drawn.readError()
}

// Scan returns at most limit rows whose key has the prefix and is greater than
// after, in key order.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	drawn, err := p.injectFaults(ctx, tableFaultsOf, platform.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := []platform.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, copyRow(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(max(limit, 0), len(rows))], drawn.readError()
}

// Commit applies the transaction if all of its conditions hold, and returns a
// *platform.ConflictError otherwise.
func (p *Platform) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	drawn, err := p.injectFaults(ctx, tableFaultsOf, platform.ErrOutcomeUnknown)
	if err != nil {
		return platform.CommitResult{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conflict := p.findConflict(tx); conflict != nil {
		if drawn.loseAnswer {
			return platform.CommitResult{}, drawn.writeError()
		}
		return platform.CommitResult{}, conflict
	}
	p.applyWrites(tx)
	if drawn.loseAnswer {
		return platform.CommitResult{}, drawn.writeError()
	}
	return platform.CommitResult{Version: p.lastVersion}, nil
}

// findConflict returns a *platform.ConflictError for the first condition that does
// not hold, or nil if all hold.
func (p *Platform) findConflict(tx platform.Transaction) error {
	for _, condition := range tx.Conditions {
		if version := p.rows[condition.Key].Version; version != condition.Version {
			return &platform.ConflictError{Key: condition.Key, Version: version}
		}
	}
	return nil
}

// applyWrites writes and deletes the rows of a transaction. All rows take their
// versions from one counter, so that the version of a row also grows across a
// delete.
func (p *Platform) applyWrites(tx platform.Transaction) {
	p.commits++
	p.lastVersion++
	for _, put := range tx.Puts {
		value := append([]byte{}, put.Value...)
		p.rows[put.Key] = platform.Row{Key: put.Key, Version: p.lastVersion, Value: value}
	}
	for _, key := range tx.Deletes {
		delete(p.rows, key)
	}
}

// Put stores an object.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	drawn, err := p.injectFaults(ctx, objectStoreFaultsOf, platform.ErrOutcomeUnknown)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = append([]byte{}, data...)
	return drawn.writeError()
}

// Get returns an object.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	drawn, err := p.injectFaults(ctx, objectStoreFaultsOf, platform.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok && !drawn.loseAnswer {
		return nil, fmt.Errorf("%w: %q", platform.ErrNotFound, name)
	}
	return append([]byte{}, data...), drawn.readError()
}

// Head returns the size of an object.
func (p *Platform) Head(ctx context.Context, name string) (int64, error) {
	data, err := p.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	return int64(len(data)), nil
}

func (d drawnFaults) readError() error {
	if d.loseAnswer {
		return fmt.Errorf("%w: answer lost by fault", platform.ErrUnavailable)
	}
	return nil
}

func (d drawnFaults) writeError() error {
	if d.loseAnswer {
		return fmt.Errorf("%w: answer lost by fault", platform.ErrOutcomeUnknown)
	}
	return nil
}

func copyRow(r platform.Row) platform.Row {
	r.Value = append([]byte{}, r.Value...)
	return r
}
