// Package policy combines placement, interference prediction, the reaction to
// slow services, quotas and quarantine into one policy for a shard.
package policy

import (
	"time"

	"bergamotstile/interference"
	"bergamotstile/qos"
	"bergamotstile/quarantine"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
)

// Weights holds the objective weights of a deployment. Only their proportions
// matter.
type Weights struct {
	TailLatency     float64
	BatchThroughput float64
	Evictions       float64
}

// normalised returns the weights scaled to a sum of one, or equal weights if
// all are zero.
func (w Weights) normalised() Weights {
	sum := w.TailLatency + w.BatchThroughput + w.Evictions
	if sum <= 0 {
		return Weights{1.0 / 3, 1.0 / 3, 1.0 / 3}
	}
	return Weights{w.TailLatency / sum, w.BatchThroughput / sum, w.Evictions / sum}
}

// Mechanism names a part of the policy that can be switched off to measure its
// contribution.
type Mechanism string

// The mechanisms of the policy.
const (
	MechanismInterference Mechanism = "interference" // prediction of interference at placement
	MechanismHeadroom     Mechanism = "headroom"     // free capacity for errors of declared sizes
	MechanismPacking      Mechanism = "packing"
	MechanismSpread       Mechanism = "spread"      // spreading of a job over racks
	MechanismThrottle     Mechanism = "throttle"    // throttling of work that interferes with a service
	MechanismEvict        Mechanism = "evict"       // eviction of work that interferes with a service
	MechanismHysteresis   Mechanism = "hysteresis"  // delay before a throttle is lifted
	MechanismQueue        Mechanism = "queue"       // queue length as an early sign of a slow service
	MechanismUncertainty  Mechanism = "uncertainty" // margin for the uncertainty of predictions
	MechanismFeedback     Mechanism = "feedback"    // placement limit that follows the measured slowdown
	MechanismFairShare    Mechanism = "fair_share"
	MechanismAgeing       Mechanism = "ageing"
	MechanismPreemption   Mechanism = "preemption" // eviction of batch work for urgent work
	MechanismQuarantine   Mechanism = "quarantine"
)

// Mechanisms lists all mechanisms in the order of the ablation table.
var Mechanisms = []Mechanism{
	MechanismInterference, MechanismHeadroom, MechanismPacking, MechanismSpread,
	MechanismThrottle, MechanismEvict, MechanismHysteresis, MechanismQueue,
	MechanismUncertainty, MechanismFeedback, MechanismFairShare, MechanismAgeing,
	MechanismPreemption, MechanismQuarantine,
}

// Settings configures a policy. Fields with a zero value take their defaults.
type Settings struct {
	Weights  Weights
	Teams    map[string]quota.Team
	Disabled map[Mechanism]bool
	// BaselineMS is the declared service time of each service without
	// neighbours, in milliseconds, by service. Measurements correct it.
	BaselineMS map[string]float64

	Interference interference.Settings
	Usage        scheduler.UsageSettings
	Limits       scheduler.Limits
	QoS          qos.Settings
	Quota        quota.Settings
	Quarantine   quarantine.Settings
	// MaxPlanItems is the maximum number of queued items that one plan
	// considers. Urgent items are considered even beyond this number.
	MaxPlanItems int
	// NeverFitsAfter is how long an item must wait before it is refused because
	// it is larger than every worker.
	NeverFitsAfter time.Duration
	// ReservationTimeout is how long capacity that evictions are freeing stays
	// reserved for the urgent item that needs it.
	ReservationTimeout time.Duration
}

// thresholds holds the thresholds that follow from the objective weights.
type thresholds struct {
	// placementLimit is the excess slowdown of a service, predicted with a
	// margin for uncertainty, up to which work is placed beside the service.
	placementLimit float64
	// throttleLimit is the excess slowdown above which batch work is throttled.
	throttleLimit float64
	// confidence is the number of standard deviations added to a predicted
	// excess slowdown.
	confidence float64
}

// placementLimitMax and throttleLimitMax are the limits of the excess slowdown
// for a weight of zero on tail latency. The limits shrink linearly as that
// weight grows, down to excessLimitMin. The limit for placement is below the
// limit for throttling, because a throttled task keeps its declared capacity
// and finishes late. With both limits at 0.1, the policy finished 0.56 times
// the batch work of the best-fit policy in the benchmark deployment society.
const (
	placementLimitMax = 0.5
	throttleLimitMax  = 1.125
	excessLimitMin    = 0.02
)

// thresholdsFor computes the thresholds from the objective weights.
func thresholdsFor(w Weights) thresholds {
	w = w.normalised()
	return thresholds{
		placementLimit: max(excessLimitMin, placementLimitMax*(1-w.TailLatency)),
		throttleLimit:  max(excessLimitMin, throttleLimitMax*(1-w.TailLatency)),
		confidence:     0.15 + 0.25*w.TailLatency,
	}
}

// withDefaults returns the settings with zero values replaced by defaults.
func (s Settings) withDefaults() Settings {
	if s.Interference == (interference.Settings{}) {
		s.Interference = interference.DefaultSettings()
	}
	if s.Usage == (scheduler.UsageSettings{}) {
		s.Usage = scheduler.DefaultUsageSettings()
	}
	if s.Limits == (scheduler.Limits{}) {
		s.Limits = scheduler.DefaultLimits()
	}
	if s.QoS == (qos.Settings{}) {
		s.QoS = qos.DefaultSettings()
		s.QoS.Limit = thresholdsFor(s.Weights).throttleLimit
	}
	if s.Quota == (quota.Settings{}) {
		s.Quota = quota.DefaultSettings()
	}
	if s.Quarantine == (quarantine.Settings{}) {
		s.Quarantine = quarantine.DefaultSettings()
	}
	if s.MaxPlanItems == 0 {
		s.MaxPlanItems = 1024
	}
	if s.NeverFitsAfter == 0 {
		s.NeverFitsAfter = time.Minute
	}
	if s.ReservationTimeout == 0 {
		s.ReservationTimeout = 5 * time.Second
	}
	return s.withoutDisabled()
}

// withoutDisabled returns the settings changed so that the disabled mechanisms
// that only a threshold controls have no effect.
func (s Settings) withoutDisabled() Settings {
	if s.Disabled[MechanismHysteresis] {
		s.QoS.ReleaseAfter = 0
		s.QoS.ReleaseBelow = 1
	}
	if s.Disabled[MechanismAgeing] {
		s.Quota.AgeLimit = 1 << 62
	}
	return s
}
