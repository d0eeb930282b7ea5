package policy

import (
	"math"
	"sync"
	"time"

	"bergamotstile/interference"
	"bergamotstile/qos"
	"bergamotstile/quarantine"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// Policy plans for one shard. What it has learned is kept in memory only. A new
// owner of the shard starts with a policy without measurements, which assumes
// the prior interference for all pairs until measurements arrive. All methods
// are safe for concurrent use.
type Policy struct {
	mu             sync.Mutex
	settings       Settings
	thresholds     thresholds
	feedback       feedback
	model          *interference.Model
	usage          *scheduler.UsageEstimator
	controller     *qos.Controller
	quarantine     *quarantine.Tracker
	services       map[string]*serviceState // by worker
	baselines      map[string]*baseline     // by service
	pendingSamples []ServiceSample
	lastLearned    time.Time
	reservations   map[structs.WorkID]reservation // by urgent item
}

// reservation is capacity that evictions are freeing for an urgent item.
type reservation struct {
	worker string
	team   string
	size   structs.Resources
	until  time.Time
}

// New returns a policy without measurements.
func New(settings Settings) *Policy {
	settings = settings.withDefaults()
	return &Policy{
		settings:     settings,
		thresholds:   thresholdsFor(settings.Weights),
		feedback:     feedback{limitScale: 1},
		model:        interference.New(settings.Interference),
		usage:        scheduler.NewUsageEstimator(settings.Usage),
		controller:   qos.New(settings.QoS),
		quarantine:   quarantine.New(settings.Quarantine),
		services:     map[string]*serviceState{},
		baselines:    map[string]*baseline{},
		reservations: map[structs.WorkID]reservation{},
	}
}

func (p *Policy) isEnabled(m Mechanism) bool {
	return !p.settings.Disabled[m]
}

// Schedule returns which items and attempts to start, evict, throttle and
// refuse. The plan depends only on the snapshots and observations that the
// policy has received.
func (p *Policy) Schedule(s scheduler.Snapshot) scheduler.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnFromSnapshot(&s)
	pl := p.newPlanner(&s)
	pl.reactToInterference()
	pl.placeQueue()
	return pl.plan
}

// throttleShare returns the share of its processors that an attempt may use,
// from 0 to 1.
func throttleShare(a *scheduler.Attempt) float64 {
	if a.Throttle <= 0 || a.Throttle > 1 {
		return 1
	}
	return a.Throttle
}

// expectedUse returns the processors that a task of the job is expected to use
// without a throttle, as a fraction of the worker's processors.
func (p *Policy) expectedUse(job string, size structs.Resources, w *scheduler.Worker) float64 {
	if w.Capacity.CPUMilli <= 0 {
		return 0
	}
	return p.usage.Expected(job, size).CPUMilli / float64(w.Capacity.CPUMilli)
}

func sqrt(x float64) float64 { return math.Sqrt(x) }
