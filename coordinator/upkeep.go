package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/logging"
	"bergamotstile/maintenance"
	"bergamotstile/rowstore"
)

// Bounds of the calls for upkeep.
const (
	// lookEvery is the pause between machine lists while a wave is open. Each is
	// priced. It grows up to maxLookPause while the platform refuses.
	lookEvery    = 500 * time.Millisecond
	maxLookPause = 4 * time.Second
	// upkeepCalls bounds the calls sent in one tick.
	upkeepCalls = 2
)

// wavesKey is the row with what a successor has to know of waves.
var wavesKey = rowstore.Key{Table: "lease", Part: sharedPart, Key: "waves"}

// Machines is the platform's interface to the machines that runners live on.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]maintenance.Machine, error)
	// BeginUpkeep takes a machine down, once for each wave. It returns ErrFenced if
	// a later coordinator has given an order for the machine. Any other error says
	// why the outcome is not maintenance.Begun.
	BeginUpkeep(ctx context.Context, c maintenance.Call, epoch uint64) (maintenance.Outcome, error)
}

// Maintenance is what a coordinator needs for waves of upkeep.
type Maintenance struct {
	Machines Machines
	// Waves returns the waves requested.
	Waves func() []maintenance.Wave
	// EncodeStatus returns the row that reports a wave's status.
	EncodeStatus func(maintenance.Report) rowstore.Put
	// Upkeep is how long the upkeep of a machine takes.
	Upkeep time.Duration
	// Handover is how far apart calls of two coordinators for one machine are
	// kept.
	Handover time.Duration
}

type (
	machinesEvent struct {
		machines []maintenance.Machine
		sent     time.Duration
		err      error
	}
	wavesEvent struct {
		change  uint64
		reports []maintenance.Report
	}
	upkeepEvent struct {
		result maintenance.Result
		err    error
	}
)

// upkeep is the duty of waves in one term.
type upkeep struct {
	Maintenance
	planner   *maintenance.Planner
	looking   bool
	nextLook  time.Duration
	lookPause time.Duration
	outage    logging.Outage
	recording bool
	reported  map[int]maintenance.Status
}

// newUpkeep returns the duty, or nil where the platform has no machines.
func newUpkeep(m *Maintenance, log logrus.FieldLogger) *upkeep {
	if m == nil {
		return nil
	}
	return &upkeep{Maintenance: *m, planner: maintenance.New(m.Upkeep), lookPause: lookEvery, reported: map[int]maintenance.Status{},
		outage: logging.Outage{Log: log, Lost: "machines not listed", Regained: "machines listed again"}}
}

// inheritWaves takes over a predecessor's record. Waves are left alone where it
// can't be read: their limit could not be kept.
func (t *leader) inheritWaves(ctx context.Context, store rowstore.Store, value []byte) error {
	if t.upkeep == nil {
		return nil
	}
	now := t.env.Clock()
	waves, err := t.upkeep.planner.Restore(value, t.env.StoreClock()-now, now, now+t.upkeep.Handover)
	if err != nil {
		t.env.Log.WithError(err).Error("waves of upkeep left alone")
		t.upkeep = nil
		return nil
	}
	for _, number := range waves {
		key := t.upkeep.EncodeStatus(maintenance.Report{Wave: number}).Key
		res, err := store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
		if err != nil {
			return fmt.Errorf("status of wave %d: %w", number, err)
		}
		for _, row := range res.Rows {
			t.journal.loaded(row.Key, row.Version)
		}
	}
	return nil
}

// maintain plans the waves and sends what is due. While another process may hold
// the lease, nothing is planned or sent.
func (t *leader) maintain(now time.Duration) {
	u := t.upkeep
	if u == nil || !t.term.IsExclusive() {
		return
	}
	waves := u.Waves()
	if len(waves) == 0 && u.planner.Empty() {
		return
	}
	u.planner.Request(waves, now)
	if u.planner.Open() && !u.looking && now >= u.nextLook {
		t.listMachines(now)
	}
	u.planner.Plan(now, t.core.Load)
	t.core.Cordon(u.planner.Drains(now), u.planner.Awaiting())
	if change, waits := u.planner.Unrecorded(); !u.recording && (waits || len(u.unreported()) > 0) {
		t.recordWaves(change, now)
	}
	for _, c := range u.planner.Calls(now, upkeepCalls) {
		go t.beginUpkeep(c, now)
	}
}

func (t *leader) listMachines(now time.Duration) {
	t.upkeep.looking = true
	machines := t.upkeep.Machines
	go func() {
		list, err := machines.List(t.ctx)
		t.env.Count("machine_lists", 1)
		t.post(t.ctx, machinesEvent{list, now, err})
	}()
}

func (e machinesEvent) apply(t *leader) {
	u := t.upkeep
	u.looking = false
	u.outage.Note(e.err)
	if e.err != nil {
		t.env.Count("machine_lists_failed", 1)
		u.lookPause = min(2*u.lookPause, maxLookPause)
	} else {
		u.lookPause = lookEvery
		u.planner.Observe(e.machines, e.sent)
	}
	u.nextLook = e.sent + u.lookPause
}

// unreported returns the statuses that are not stored, as many as fit beside the
// record.
func (u *upkeep) unreported() []maintenance.Report {
	var reports []maintenance.Report
	for _, r := range u.planner.Reports() {
		if u.reported[r.Wave] != r.Status && len(reports) < jobsPerTransaction-1 {
			reports = append(reports, r)
		}
	}
	return reports
}

// recordWaves stores what a successor has to know together with the statuses
// that have changed. It ends the term if that can't be stored.
func (t *leader) recordWaves(change uint64, now time.Duration) {
	u := t.upkeep
	value, err := u.planner.Encode(t.env.StoreClock() - now)
	if err != nil {
		t.fail(err)
		return
	}
	puts := []rowstore.Put{{Key: wavesKey, Value: value}}
	reports := u.unreported()
	for _, r := range reports {
		puts = append(puts, u.EncodeStatus(r))
	}
	u.recording = true
	go func() {
		if err := t.journal.put(t.ctx, sharedPart, puts); err != nil {
			t.fail(err)
			return
		}
		t.post(t.ctx, wavesEvent{change, reports})
	}()
}

func (e wavesEvent) apply(t *leader) {
	t.upkeep.recording = false
	t.upkeep.planner.Recorded(e.change)
	for _, r := range e.reports {
		t.upkeep.reported[r.Wave] = r.Status
		t.env.Log.WithFields(logrus.Fields{"wave": r.Wave, "status": r.Status}).Info("status of wave stored")
	}
}

func (t *leader) beginUpkeep(c maintenance.Call, now time.Duration) {
	outcome, err := t.upkeep.Machines.BeginUpkeep(t.ctx, c, t.term.Epoch)
	if errors.Is(err, ErrFenced) {
		t.fail(err)
		return
	}
	t.post(t.ctx, upkeepEvent{maintenance.Result{Call: c, Outcome: outcome, Sent: now}, err})
}

func (e upkeepEvent) apply(t *leader) {
	r := e.result
	t.env.Count("upkeep_"+r.Outcome.String(), 1)
	line := t.env.Log.WithFields(logrus.Fields{"machine": r.Call.Machine, "wave": r.Call.Wave, "outcome": r.Outcome})
	if e.err != nil {
		line.WithError(e.err).Warn("upkeep of machine not begun")
	} else {
		line.Info("upkeep of machine begins")
	}
	now := t.env.Clock()
	if ended := t.upkeep.planner.Answered(r, now); ended != "" {
		t.core.RunnerTerminated(ended, now)
	}
}
