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

// Policy plans for one shard. What it has learned is soft: a new owner starts
// with an empty policy and stays careful until it has measurements. All
// methods are safe for concurrent use.
type Policy struct {
	mu       sync.Mutex
	settings Settings
	limits   limits
	feedback feedback
	model    *interference.Model
	sizes    *scheduler.Sizes
	reaction *qos.Controller
	book     *quarantine.Book
	services map[string]*service // by worker
	alones   map[string]*baseline
	samples  []ServiceSample
	learned  time.Time
	holds    map[structs.WorkID]hold
}

// hold is room that is being cleared for an urgent item.
type hold struct {
	worker string
	team   string
	size   structs.Resources
	until  time.Time
}

// New returns a policy that has learned nothing.
func New(settings Settings) *Policy {
	settings = settings.withDefaults()
	return &Policy{
		settings: settings,
		limits:   limitsFor(settings.Weights),
		feedback: feedback{scale: 1},
		model:    interference.New(settings.Interference),
		sizes:    scheduler.NewSizes(settings.Sizes),
		reaction: qos.New(settings.QoS),
		book:     quarantine.New(settings.Quarantine),
		services: map[string]*service{},
		alones:   map[string]*baseline{},
		holds:    map[structs.WorkID]hold{},
	}
}

func (p *Policy) enabled(m Mechanism) bool {
	return !p.settings.Disabled[m]
}

// Schedule returns what to start, evict, throttle and refuse. The plan depends
// only on the snapshots and observations that the policy has received.
func (p *Policy) Schedule(s scheduler.Snapshot) scheduler.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(&s)
	c := p.newPlanning(&s)
	c.react()
	c.place()
	return c.plan
}

// share returns the part of its processors that an attempt may use.
func share(a *scheduler.Attempt) float64 {
	if a.Throttle <= 0 || a.Throttle > 1 {
		return 1
	}
	return a.Throttle
}

// expected returns the processors that an attempt will use, as a part of the
// worker's. A report counts only if it is not taken under a throttle.
func (p *Policy) expected(job string, size structs.Resources, w *scheduler.Worker) float64 {
	if w.Capacity.CPUMilli <= 0 {
		return 0
	}
	return p.sizes.Expected(job, size).CPUMilli / float64(w.Capacity.CPUMilli)
}

func sqrt(x float64) float64 { return math.Sqrt(x) }
