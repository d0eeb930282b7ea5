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

// PartFaults are the faults of the table, the object store or the list.
type PartFaults struct {
	// Down refuses every call without an effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every call before it takes effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswer loses the answer of a write after it took effect, and the
	// answer of a read.
	LoseAnswer Chance `json:"lose_answer,omitzero"`
	// LoseRequest loses a call before it takes effect. The caller cannot tell
	// it from a lost answer.
	LoseRequest Chance `json:"lose_request,omitzero"`
}

// PlatformFaults are the faults of the platform.
type PlatformFaults struct {
	Table   PartFaults `json:"table,omitzero"`
	Objects PartFaults `json:"objects,omitzero"`
	List    PartFaults `json:"list,omitzero"`
	// ListLagMS is how far readings of the list lag behind.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
}

// Platform keeps a transactional table, objects and a membership list in
// memory. It implements platform.Table, platform.ObjectStore and
// platform.MembershipList.
type Platform struct {
	clock   clockwork.Clock
	started time.Time

	mu      sync.Mutex
	dice    *dice
	faults  PlatformFaults
	version uint64
	rows    map[string]platform.Row
	objects map[string][]byte
	list    memberList
	commits int64
	reads   int64
}

var (
	_ platform.Table          = (*Platform)(nil)
	_ platform.ObjectStore    = (*Platform)(nil)
	_ platform.MembershipList = (*Platform)(nil)
)

// NewPlatform returns an empty platform whose faults are drawn from seed.
func NewPlatform(clock clockwork.Clock, seed uint64) *Platform {
	return &Platform{
		clock:   clock,
		started: clock.Now(),
		dice:    newDice(seed),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		list:    newMemberList(clock.Now()),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults that are set.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// PlatformStats counts the calls that took effect.
type PlatformStats struct {
	Commits int64 `json:"commits"`
	Reads   int64 `json:"reads"`
	Rows    int   `json:"rows"`
	Objects int   `json:"objects"`
}

// Stats returns the counts.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformStats{Commits: p.commits, Reads: p.reads, Rows: len(p.rows), Objects: len(p.objects)}
}

// verdict is what the faults do to one call.
type verdict struct {
	loseAnswer bool
}

// admit applies the faults that strike before a call takes effect. lost is the
// error for a call whose answer never arrives.
func (p *Platform) admit(ctx context.Context, part func(*PlatformFaults) *PartFaults, lost error) (verdict, error) {
	p.mu.Lock()
	f := part(&p.faults)
	down, slow := f.Down, millis(f.SlowMS)
	loseRequest := !down && p.dice.strikes(&f.LoseRequest)
	v := verdict{loseAnswer: !down && !loseRequest && p.dice.strikes(&f.LoseAnswer)}
	p.mu.Unlock()
	if down {
		return v, fmt.Errorf("%w: fault injected", platform.ErrUnavailable)
	}
	if err := p.delay(ctx, slow); err != nil {
		return v, fmt.Errorf("%w: %w", lost, err)
	}
	if loseRequest {
		return v, fmt.Errorf("%w: request lost by fault", lost)
	}
	return v, nil
}

func (p *Platform) delay(ctx context.Context, d time.Duration) error {
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

func tablePart(f *PlatformFaults) *PartFaults   { return &f.Table }
func objectsPart(f *PlatformFaults) *PartFaults { return &f.Objects }
func listPart(f *PlatformFaults) *PartFaults    { return &f.List }

// Read returns the rows that exist among keys.
func (p *Platform) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	v, err := p.admit(ctx, tablePart, platform.ErrUnavailable)
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
	return rows, v.readError()
}

// Scan returns at most limit rows with the prefix and a key above after.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	v, err := p.admit(ctx, tablePart, platform.ErrUnavailable)
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
	return rows[:min(max(limit, 0), len(rows))], v.readError()
}

// Commit applies the transaction if all of its conditions hold.
func (p *Platform) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	v, err := p.admit(ctx, tablePart, platform.ErrOutcomeUnknown)
	if err != nil {
		return platform.CommitResult{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conflict := p.conflict(tx); conflict != nil {
		if v.loseAnswer {
			return platform.CommitResult{}, v.writeError()
		}
		return platform.CommitResult{}, conflict
	}
	p.apply(tx)
	if v.loseAnswer {
		return platform.CommitResult{}, v.writeError()
	}
	return platform.CommitResult{Version: p.version}, nil
}

func (p *Platform) conflict(tx platform.Transaction) error {
	for _, c := range tx.Conditions {
		if version := p.rows[c.Key].Version; version != c.Version {
			return &platform.ConflictError{Key: c.Key, Version: version}
		}
	}
	return nil
}

// apply writes the rows. One counter gives all versions, so that the version
// of a row also grows across a delete.
func (p *Platform) apply(tx platform.Transaction) {
	p.commits++
	p.version++
	for _, put := range tx.Puts {
		value := append([]byte{}, put.Value...)
		p.rows[put.Key] = platform.Row{Key: put.Key, Version: p.version, Value: value}
	}
	for _, key := range tx.Deletes {
		delete(p.rows, key)
	}
}

// Put stores an object.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	v, err := p.admit(ctx, objectsPart, platform.ErrOutcomeUnknown)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = append([]byte{}, data...)
	return v.writeError()
}

// Get returns an object.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	v, err := p.admit(ctx, objectsPart, platform.ErrUnavailable)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok && !v.loseAnswer {
		return nil, fmt.Errorf("%w: %q", platform.ErrNotFound, name)
	}
	return append([]byte{}, data...), v.readError()
}

// Head returns the size of an object.
func (p *Platform) Head(ctx context.Context, name string) (int64, error) {
	data, err := p.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	return int64(len(data)), nil
}

func (v verdict) readError() error {
	if v.loseAnswer {
		return fmt.Errorf("%w: answer lost by fault", platform.ErrUnavailable)
	}
	return nil
}

func (v verdict) writeError() error {
	if v.loseAnswer {
		return fmt.Errorf("%w: answer lost by fault", platform.ErrOutcomeUnknown)
	}
	return nil
}

func copyRow(r platform.Row) platform.Row {
	r.Value = append([]byte{}, r.Value...)
	return r
}
