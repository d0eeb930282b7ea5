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
	// BeginMaintenance takes a machine down for maintenance, once for each wave. It returns
	// ErrFenced if a later coordinator has sent a call for the machine. Any other error
	// gives the reason why the outcome is not maintenance.Begun.
	BeginMaintenance(ctx context.Context, call maintenance.Call, epoch uint64) (maintenance.Outcome, error)
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
	// machineListEvent is the result of a request for the machine list.
	machineListEvent struct {
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
	// maintenanceResultEvent is the result of a call that begins the maintenance of a
	// machine.
	maintenanceResultEvent struct {
		result maintenance.Result
		err    error
	}
)

// waveManager carries out maintenance waves during one term of the coordinator.
type waveManager struct {
	Maintenance
	planner     *maintenance.Planner
	isListing   bool          // a request for the machine list is under way
	nextListAt  time.Duration // when the machine list may next be requested
	listPause   time.Duration // between the last request for the list and the next
	outage      logging.Outage
	isRecording bool // a write of the record of the waves is under way
	// recordHeldUntil is until when the record is not written again after the store has
	// refused it for good.
	recordHeldUntil time.Duration
	storedStatuses  map[int]maintenance.Status // by number of the wave
}

// newWaveManager returns a waveManager, or nil if the platform has no machines.
func newWaveManager(config *Maintenance, log logrus.FieldLogger) *waveManager {
	if config == nil {
		return nil
	}
	return &waveManager{Maintenance: *config, planner: maintenance.New(config.MachineDuration), listPause: listInterval, storedStatuses: map[int]maintenance.Status{},
		outage: logging.Outage{Log: log, Lost: "machines not listed", Regained: "machines listed again"}}
}

// restoreWaves restores the state of the waves from a predecessor's record. If the record
// can't be decoded, this coordinator ignores maintenance waves, because it could not
// keep their limit on the machines that are down.
func (coord *coordinator) restoreWaves(ctx context.Context, store rowstore.Store, value []byte) error {
	if coord.waveManager == nil {
		return nil
	}
	now := coord.env.Clock()
	waves, err := coord.waveManager.planner.Restore(value, coord.sharedClockOffset(now), now, now+coord.waveManager.HandoverGap)
	if err != nil {
		coord.env.Log.WithError(err).Error("maintenance waves ignored")
		coord.waveManager = nil
		return nil
	}
	for _, number := range waves {
		key := coord.waveManager.EncodeStatus(maintenance.Report{Wave: number}).Key
		result, err := store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
		if err != nil {
			return fmt.Errorf("read status of wave %d: %w", number, err)
		}
		for _, row := range result.Rows {
			coord.journal.setVersion(row.Key, row.Version)
		}
	}
	return nil
}

// sharedClockOffset returns the reading of the store's clock minus that of the local clock.
func (coord *coordinator) sharedClockOffset(now time.Duration) maintenance.ClockOffset {
	estimate := coord.env.StoreClock() - now
	earliest, latest, known := coord.env.StoreClockBounds(now)
	if !known {
		return maintenance.ClockOffset{Estimate: estimate, Earliest: estimate, Latest: estimate}
	}
	return maintenance.ClockOffset{Estimate: estimate, Earliest: earliest - now, Latest: latest - now}
}

// advanceWaves plans the waves, cordons runners, stores the state of the waves and sends
// the calls that are due. While another process may hold the coordinator's lease, it
// does nothing.
func (coord *coordinator) advanceWaves(now time.Duration) {
	manager := coord.waveManager
	if manager == nil || !coord.term.IsExclusive() {
		return
	}
	waves := manager.Waves()
	if len(waves) == 0 && manager.planner.HasNoWaves() {
		return
	}
	manager.planner.SetRequestedWaves(waves, now)
	if manager.planner.NeedsMachineLists() && !manager.isListing && now >= manager.nextListAt {
		coord.listMachines(now)
	}
	manager.planner.Plan(now, coord.core.RunnerLoad)
	coord.core.SetCordons(manager.planner.RunnersToCordon(now), manager.planner.RunnersAwaitingMaintenance())
	if change, unrecorded := manager.planner.LastChange(); !manager.isRecording && now >= manager.recordHeldUntil && (unrecorded || len(manager.unstoredReports()) > 0) {
		coord.storeWaves(change, now)
	}
	for _, call := range manager.planner.TakeCalls(now, maxCallsPerTick) {
		go coord.beginMaintenance(call, now)
	}
}

// listMachines requests the machine list in the background.
func (coord *coordinator) listMachines(now time.Duration) {
	coord.waveManager.isListing = true
	machines := coord.waveManager.Machines
	go func() {
		machineList, err := machines.List(coord.ctx)
		coord.env.Count("machine_lists", 1)
		coord.post(coord.ctx, machineListEvent{machineList, now, err})
	}()
}

// apply passes the machine list to the planner and sets when it is requested next.
func (e machineListEvent) apply(coord *coordinator) {
	manager := coord.waveManager
	manager.isListing = false
	manager.outage.Record(e.err)
	if e.err != nil {
		coord.env.Count("machine_lists_failed", 1)
		manager.listPause = min(2*manager.listPause, maxListPause)
	} else {
		manager.listPause = listInterval
		manager.planner.RecordMachineList(e.machines, e.sent)
	}
	manager.nextListAt = e.sent + manager.listPause
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
func (coord *coordinator) storeWaves(change uint64, now time.Duration) {
	manager := coord.waveManager
	value, err := manager.planner.Encode(coord.sharedClockOffset(now), now)
	if err != nil {
		coord.fail(err)
		return
	}
	puts := []rowstore.Put{{Key: wavesKey, Value: value}}
	reports := manager.unstoredReports()
	for _, report := range reports {
		puts = append(puts, manager.EncodeStatus(report))
	}
	manager.isRecording = true
	go func() {
		var rejected *rejectedRowsError
		if err := coord.journal.put(coord.ctx, sharedPart, puts); errors.As(err, &rejected) {
			coord.recordRejectedSharedRows(rejected)
			coord.post(coord.ctx, wavesRejectedEvent{})
			return
		} else if err != nil {
			coord.fail(err)
			return
		}
		coord.post(coord.ctx, wavesStoredEvent{change, reports})
	}()
}

// apply records that the record of the waves and the statuses are durable.
func (e wavesStoredEvent) apply(coord *coordinator) {
	coord.waveManager.isRecording = false
	coord.waveManager.planner.MarkRecorded(e.recordedChange)
	for _, report := range e.reports {
		coord.waveManager.storedStatuses[report.Wave] = report.Status
		coord.env.Log.WithFields(logrus.Fields{"wave": report.Wave, "status": report.Status}).Info("wave status stored")
	}
}

// beginMaintenance calls the platform to take a machine down and posts the result. It
// ends the term if a later coordinator has sent a call for the machine.
func (coord *coordinator) beginMaintenance(call maintenance.Call, now time.Duration) {
	outcome, err := coord.waveManager.Machines.BeginMaintenance(coord.ctx, call, coord.term.Epoch)
	if errors.Is(err, ErrFenced) {
		coord.fail(err)
		return
	}
	coord.post(coord.ctx, maintenanceResultEvent{maintenance.Result{Call: call, Outcome: outcome, SentAt: now}, err})
}

// apply passes the result of the call to the planner. If the maintenance has certainly ended
// the runner that was on the machine, it passes that to the core.
func (e maintenanceResultEvent) apply(coord *coordinator) {
	result := e.result
	coord.env.Count("upkeep_"+result.Outcome.String(), 1)
	entry := coord.env.Log.WithFields(logrus.Fields{"machine": result.Call.Machine, "wave": result.Call.Wave, "outcome": result.Outcome})
	if e.err != nil {
		entry.WithError(e.err).Warn("maintenance of machine not begun")
	} else {
		entry.Info("maintenance of machine begun")
	}
	now := coord.env.Clock()
	if endedRunner := coord.waveManager.planner.RecordResult(result, now); endedRunner != "" {
		coord.core.MarkRunnerEndedByMaintenance(endedRunner, now)
	}
}
