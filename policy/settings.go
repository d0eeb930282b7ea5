// Package policy combines the decisions of placement, interference, reaction,
// quotas and quarantine into one policy for a shard.
package policy

import (
	"time"

	"bergamotstile/interference"
	"bergamotstile/qos"
	"bergamotstile/quarantine"
	"bergamotstile/quota"
	"bergamotstile/scheduler"
)

// Weights are the objective weights of a deployment. Only their proportions
// matter.
type Weights struct {
	TailLatency     float64
	BatchThroughput float64
	Evictions       float64
}

// normalised returns the weights with a sum of one, equal if all are zero.
func (w Weights) normalised() Weights {
	sum := w.TailLatency + w.BatchThroughput + w.Evictions
	if sum <= 0 {
		return Weights{1.0 / 3, 1.0 / 3, 1.0 / 3}
	}
	return Weights{w.TailLatency / sum, w.BatchThroughput / sum, w.Evictions / sum}
}

// Mechanism names a part of the policy that can be switched off to measure
// what it contributes.
type Mechanism string

// The mechanisms.
const (
	MechanismInterference Mechanism = "interference" // prediction at placement
	MechanismHeadroom     Mechanism = "headroom"     // room for errors of declared sizes
	MechanismPacking      Mechanism = "packing"
	MechanismSpread       Mechanism = "spread"      // over racks
	MechanismThrottle     Mechanism = "throttle"    // throttling of harmful work
	MechanismEvict        Mechanism = "evict"       // eviction of harmful work
	MechanismHysteresis   Mechanism = "hysteresis"  // slow release
	MechanismQueue        Mechanism = "queue"       // queue depth as a leading signal
	MechanismUncertainty  Mechanism = "uncertainty" // mean plus deviation
	MechanismFeedback     Mechanism = "feedback"    // limit of placement follows measured slowdown
	MechanismFairShare    Mechanism = "fair_share"
	MechanismAgeing       Mechanism = "ageing"
	MechanismPreemption   Mechanism = "preemption" // of batch for urgent work
	MechanismQuarantine   Mechanism = "quarantine"
)

// Mechanisms lists all mechanisms in the order of the ablation table.
var Mechanisms = []Mechanism{
	MechanismInterference, MechanismHeadroom, MechanismPacking, MechanismSpread,
	MechanismThrottle, MechanismEvict, MechanismHysteresis, MechanismQueue,
	MechanismUncertainty, MechanismFeedback, MechanismFairShare, MechanismAgeing,
	MechanismPreemption, MechanismQuarantine,
}

// Settings configures a policy. Zero parts take their defaults.
type Settings struct {
	Weights  Weights
	Teams    map[string]quota.Team
	Disabled map[Mechanism]bool
	// AloneMS is the declared service time of each service without
	// neighbours. Measurements correct it.
	AloneMS map[string]float64

	Interference interference.Settings
	Sizes        scheduler.SizeSettings
	Limits       scheduler.Limits
	QoS          qos.Settings
	Quota        quota.Settings
	Quarantine   quarantine.Settings
	// PlanItems bounds the queued items that one plan considers.
	PlanItems int
	// NeverFitsAfter is how long an item waits before it is refused for being
	// larger than every worker.
	NeverFitsAfter time.Duration
	// HoldPreempted is how long room that is being cleared stays held for the
	// urgent item it is cleared for.
	HoldPreempted time.Duration
}

// limits are the thresholds that follow from the objective weights.
type limits struct {
	// placeExcess is the predicted slowdown, with uncertainty, up to which
	// work is placed beside a service.
	placeExcess float64
	// hurtExcess is the slowdown from which batch work is throttled.
	hurtExcess float64
	// confidence is the number of deviations added to a predicted slowdown.
	confidence float64
}

// Limits without weight on tail latency. They shrink in proportion to that
// weight. The limit of placement lies below that of throttling, because a
// throttled task keeps its declared room and finishes late: with both at 0.1
// the society finished 0.56 of the batch work of best-fit.
const (
	placeExcessMax = 0.5
	hurtExcessMax  = 1.125
	excessMin      = 0.02
)

func limitsFor(w Weights) limits {
	w = w.normalised()
	return limits{
		placeExcess: max(excessMin, placeExcessMax*(1-w.TailLatency)),
		hurtExcess:  max(excessMin, hurtExcessMax*(1-w.TailLatency)),
		confidence:  0.15 + 0.25*w.TailLatency,
	}
}

func (s Settings) withDefaults() Settings {
	if s.Interference == (interference.Settings{}) {
		s.Interference = interference.DefaultSettings()
	}
	if s.Sizes == (scheduler.SizeSettings{}) {
		s.Sizes = scheduler.DefaultSizeSettings()
	}
	if s.Limits == (scheduler.Limits{}) {
		s.Limits = scheduler.DefaultLimits()
	}
	if s.QoS == (qos.Settings{}) {
		s.QoS = qos.DefaultSettings()
		s.QoS.Limit = limitsFor(s.Weights).hurtExcess
	}
	if s.Quota == (quota.Settings{}) {
		s.Quota = quota.DefaultSettings()
	}
	if s.Quarantine == (quarantine.Settings{}) {
		s.Quarantine = quarantine.DefaultSettings()
	}
	if s.PlanItems == 0 {
		s.PlanItems = 1024
	}
	if s.NeverFitsAfter == 0 {
		s.NeverFitsAfter = time.Minute
	}
	if s.HoldPreempted == 0 {
		s.HoldPreempted = 5 * time.Second
	}
	return s.withoutDisabled()
}

// withoutDisabled changes the settings of mechanisms that have no code of
// their own to switch off.
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
