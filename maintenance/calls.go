package maintenance

import (
	"maps"
	"slices"
	"time"
)

// callRetention is how long the last call for a machine is kept in the record. Its successor may
// have to wait for a part of that time before it calls for the machine.
const callRetention = 30 * time.Second

// ClockOffset is the reading of the clock that the coordinators share minus that of the local clock:
// an estimate, and the bounds between which it lies.
type ClockOffset struct{ Estimate, Earliest, Latest time.Duration }

// callRecord is the stored time of the last call for a machine that has a result. A successor learns
// from it of calls that were refused, after which a machine is waiting again.
type callRecord struct {
	Machine  string        `cbor:"1,keyasint"`
	CalledAt time.Duration `cbor:"2,keyasint"` // not before the call was carried out
}

// encodeCalls returns the last calls, by machine ID, and forgets those that are too old to matter.
func (p *Planner) encodeCalls(offset ClockOffset, now time.Duration) []callRecord {
	maps.DeleteFunc(p.lastCalls, func(_ string, at time.Duration) bool { return now-at > callRetention })
	var calls []callRecord
	for _, machine := range slices.Sorted(maps.Keys(p.lastCalls)) {
		calls = append(calls, callRecord{machine, p.lastCalls[machine] + offset.Latest})
	}
	return calls
}

// restoreCalls holds back calls for the machines for which a predecessor has called.
func (p *Planner) restoreCalls(decoded record, offset ClockOffset, now, repeatFrom time.Duration) {
	if !decoded.HasCalls {
		p.allHeldUntil = repeatFrom
	}
	for _, call := range decoded.Calls {
		calledAt := min(call.CalledAt-offset.Earliest, now)
		p.lastCalls[call.Machine] = calledAt
		p.heldUntil[call.Machine] = calledAt + repeatFrom - now
	}
	for _, waveEntry := range decoded.Waves {
		for _, m := range waveEntry.Machines {
			p.heldUntil[m.Machine] = repeatFrom
		}
	}
}

// isHeld reports whether a call for a machine would follow a predecessor's too soon.
func (p *Planner) isHeld(machine string, now time.Duration) bool {
	return now < max(p.allHeldUntil, p.heldUntil[machine])
}
