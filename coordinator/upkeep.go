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

// Limits of the calls for maintenance.
const (
	// listInterval is the pause between requests for the machine list while a wave is
	// open. The platform charges for each request. While requests fail, the pause
	// doubles up to maxListPause.
	listInterval = 500 * time.Millisecond
	maxListPause = 4 * time.Second
	// maxCallsPerTick bounds the calls that begin the maintenance of a machine in one
	// tick.
	maxCallsPerTick = 2
)

// wavesKey is the key of the row with the state of the maintenance waves, from which a
// successor continues.
var wavesKey = rowstore.Key{Table: "lease", Part: sharedPart, Key: "waves"}

// Machines is the platform's interface to the machines on which runners run.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]maintenance.Machine, error)
	// BeginUpkeep takes a machine down for maintenance, once for each wave. It returns
	// ErrFenced if a later coordinator has sent a call for the machine. Any other error
	// gives the reason why the outcome is not maintenance.Begun.
	BeginUpkeep(ctx context.Context, c maintenance.Call, epoch uint64) (maintenance.Outcome, error)
}

// Maintenance configures how a coordinator carries out maintenance waves.
type Maintenance struct {
	Machines Machines
	// Waves returns the requested waves.
	Waves func() []maintenance.Wave
	// EncodeStatus returns the row that reports a wave's status.
	EncodeStatus func(maintenance.Report) rowstore.Put
	// MachineDuration is how long the maintenance of one machine takes.
	MachineDuration time.Duration
	// HandoverGap is how long a coordinator waits after its takeover before it repeats
	// a predecessor's call for a machine, so that calls of two coordinators for one
	// machine are at least that far apart.
	HandoverGap time.Duration
}

type (
	// machinesEvent is the result of a request for the machine list.
	machinesEvent struct {
		machines []maintenance.Machine
		sent     time.Duration // when the request was sent
		err      error
	}
	// wavesStoredEvent reports that the record of the waves is stored up to a change,
	// together with the statuses in reports.
	wavesStoredEvent struct {
		recordedChange uint64
		reports        []maintenance.Report
	}
	// maintenanceAnswerEvent is the result of a call that begins the maintenance of a
	// machine.
	maintenanceAnswerEvent struct {
		result maintenance.Result
		err    error
	}
)

// waveManager carries out maintenance waves during one term of the coordinator.
type waveManager struct {
	Maintenance
	planner        *maintenance.Planner
	listing        bool          // a request for the machine list is under way
	nextList       time.Duration // when the machine list may next be requested
	listPause      time.Duration // between the last request for the list and the next
	outage         logging.Outage
	recording      bool                       // a write of the record of the waves is under way
	storedStatuses map[int]maintenance.Status // by number of the wave
}

// newWaveManager returns a waveManager, or nil if the platform has no machines.
func newWaveManager(m *Maintenance, log logrus.FieldLogger) *waveManager {
	if m == nil {
		return nil
	}
	return &waveManager{Maintenance: *m, planner: maintenance.New(m.MachineDuration), listPause: listInterval, storedStatuses: map[int]maintenance.Status{},
		outage: logging.Outage{Log: log, Lost: "machines not listed", Regained: "machines listed again"}}
}

// restoreWaves restores the state of the waves from a predecessor's record. If the record
// can't be decoded, this coordinator ignores maintenance waves, because it could not
// keep their limit on the machines that are down.
func (t *leader) restoreWaves(ctx context.Context, store rowstore.Store, value []byte) error {
	if t.maintenance == nil {
		return nil
	}
	now := t.env.Clock()
	waves, err := t.maintenance.planner.Restore(value, t.env.StoreClock()-now, now, now+t.maintenance.HandoverGap)
	if err != nil {
		t.env.Log.WithError(err).Error("maintenance waves ignored")
		t.maintenance = nil
		return nil
	}
	for _, number := range waves {
		key := t.maintenance.EncodeStatus(maintenance.Report{Wave: number}).Key
		result, err := store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
		if err != nil {
			return fmt.Errorf("read status of wave %d: %w", number, err)
		}
		for _, row := range result.Rows {
			t.journal.setVersion(row.Key, row.Version)
		}
	}
	return nil
}

// advanceWaves plans the waves, cordons runners, stores the state of the waves and sends
// the calls that are due. While another process may hold the coordinator's lease, it
// does nothing.
func (t *leader) advanceWaves(now time.Duration) {
	manager := t.maintenance
	if manager == nil || !t.term.IsExclusive() {
		return
	}
	waves := manager.Waves()
	if len(waves) == 0 && manager.planner.HasNoWaves() {
		return
	}
	manager.planner.SetRequestedWaves(waves, now)
	if manager.planner.NeedsMachineLists() && !manager.listing && now >= manager.nextList {
		t.listMachines(now)
	}
	manager.planner.Plan(now, t.core.RunnerLoad)
	t.core.SetCordons(manager.planner.DrainingRunners(now), manager.planner.RunnersAwaitingMaintenance())
	if change, unrecorded := manager.planner.LastChange(); !manager.recording && (unrecorded || len(manager.unstoredReports()) > 0) {
		t.storeWaves(change, now)
	}
	for _, call := range manager.planner.TakeCalls(now, maxCallsPerTick) {
		go t.beginMaintenance(call, now)
	}
}

// listMachines requests the machine list in the background.
func (t *leader) listMachines(now time.Duration) {
	t.maintenance.listing = true
	machines := t.maintenance.Machines
	go func() {
		list, err := machines.List(t.ctx)
		t.env.Count("machine_lists", 1)
		t.post(t.ctx, machinesEvent{list, now, err})
	}()
}

// apply passes the machine list to the planner and sets when it is requested next.
func (e machinesEvent) apply(t *leader) {
	manager := t.maintenance
	manager.listing = false
	manager.outage.Record(e.err)
	if e.err != nil {
		t.env.Count("machine_lists_failed", 1)
		manager.listPause = min(2*manager.listPause, maxListPause)
	} else {
		manager.listPause = listInterval
		manager.planner.RecordMachineList(e.machines, e.sent)
	}
	manager.nextList = e.sent + manager.listPause
}

// unstoredReports returns the statuses of waves that are not stored, at most as many as
// fit into one transaction together with the record of the waves.
func (m *waveManager) unstoredReports() []maintenance.Report {
	var reports []maintenance.Report
	for _, report := range m.planner.StatusReports() {
		if m.storedStatuses[report.Wave] != report.Status && len(reports) < rowsPerTransaction-1 {
			reports = append(reports, report)
		}
	}
	return reports
}

// storeWaves stores the record of the waves, from which a successor continues, together
// with the statuses that have changed. It ends the term if the record can't be
// encoded or stored.
func (t *leader) storeWaves(change uint64, now time.Duration) {
	manager := t.maintenance
	value, err := manager.planner.Encode(t.env.StoreClock() - now)
	if err != nil {
		t.fail(err)
		return
	}
	puts := []rowstore.Put{{Key: wavesKey, Value: value}}
	reports := manager.unstoredReports()
	for _, report := range reports {
		puts = append(puts, manager.EncodeStatus(report))
	}
	manager.recording = true
	go func() {
		if err := t.journal.put(t.ctx, sharedPart, puts); err != nil {
			t.fail(err)
			return
		}
		t.post(t.ctx, wavesStoredEvent{change, reports})
	}()
}

// apply records that the record of the waves and the statuses are durable.
func (e wavesStoredEvent) apply(t *leader) {
	t.maintenance.recording = false
	t.maintenance.planner.MarkRecorded(e.recordedChange)
	for _, report := range e.reports {
		t.maintenance.storedStatuses[report.Wave] = report.Status
		t.env.Log.WithFields(logrus.Fields{"wave": report.Wave, "status": report.Status}).Info("wave status stored")
	}
}

// beginMaintenance calls the platform to take a machine down and posts the result. It
// ends the term if a later coordinator has sent a call for the machine.
func (t *leader) beginMaintenance(call maintenance.Call, now time.Duration) {
	outcome, err := t.maintenance.Machines.BeginUpkeep(t.ctx, call, t.term.Epoch)
	if errors.Is(err, ErrFenced) {
		t.fail(err)
		return
	}
	t.post(t.ctx, maintenanceAnswerEvent{maintenance.Result{Call: call, Outcome: outcome, SentAt: now}, err})
}

// apply passes the result of the call to the planner. If the call has certainly ended a
// runner, it marks the runner as terminated.
func (e maintenanceAnswerEvent) apply(t *leader) {
	result := e.result
	t.env.Count("upkeep_"+result.Outcome.String(), 1)
	entry := t.env.Log.WithFields(logrus.Fields{"machine": result.Call.Machine, "wave": result.Call.Wave, "outcome": result.Outcome})
	if e.err != nil {
		entry.WithError(e.err).Warn("maintenance of machine not begun")
	} else {
		entry.Info("maintenance of machine begun")
	}
	now := t.env.Clock()
	if terminated := t.maintenance.planner.RecordResult(result, now); terminated != "" {
		t.core.MarkRunnerTerminated(terminated, now)
	}
}
