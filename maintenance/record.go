package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// record is the stored state of all waves, for the next coordinator. Its times
// are readings of a clock that the coordinators share. HasCalls is not set in the
// records of versions that store no calls.
type record struct {
	Waves    []waveRecord `cbor:"1,keyasint,omitempty"`
	Calls    []callRecord `cbor:"2,keyasint,omitempty"`
	HasCalls bool         `cbor:"3,keyasint,omitempty"`
}

// waveRecord is the stored state of one wave.
type waveRecord struct {
	Number   int             `cbor:"1,keyasint"`
	Status   Status          `cbor:"2,keyasint"`
	FinishBy time.Duration   `cbor:"3,keyasint,omitempty"`
	Machines []machineRecord `cbor:"4,keyasint,omitempty"`
}

// machineRecord is the stored state of a machine that may be down, has been
// maintained or does not exist. Machines that are waiting or draining are not
// stored; callRecord tells if they have been called for.
type machineRecord struct {
	Machine string `cbor:"1,keyasint"`
	Phase   phase  `cbor:"2,keyasint"`
	Runner  string `cbor:"3,keyasint,omitempty"`
}

// LastChange returns the number of the last change. dirty is set if the stored
// record does not include that change yet.
func (p *Planner) LastChange() (change uint64, dirty bool) { return p.changes, p.changes > p.recorded }

// MarkRecorded marks the changes up to the given one as included in the stored
// record.
func (p *Planner) MarkRecorded(change uint64) { p.recorded = max(p.recorded, change) }

// Encode returns the record of all waves.
func (p *Planner) Encode(offset ClockOffset, now time.Duration) ([]byte, error) {
	encodedRecord := record{Calls: p.encodeCalls(offset, now), HasCalls: true}
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		waveEntry := waveRecord{Number: number, Status: w.status}
		if w.isOpen() {
			waveEntry.FinishBy = w.finishBy + offset.Estimate
		}
		for _, m := range w.sortedProgress() {
			if w.isOpen() && m.phase > draining || m.phase == begun {
				waveEntry.Machines = append(waveEntry.Machines, machineRecord{Machine: m.machine, Phase: m.phase, Runner: m.runner})
			}
		}
		encodedRecord.Waves = append(encodedRecord.Waves, waveEntry)
	}
	return cbor.Marshal(encodedRecord)
}

// Restore adopts the record of a predecessor and returns the numbers of its
// waves. The predecessor's calls may still be carried out; this planner repeats
// them from repeatFrom on, and calls for no machine sooner after a call of the
// predecessor.
func (p *Planner) Restore(data []byte, offset ClockOffset, now, repeatFrom time.Duration) ([]int, error) {
	var decoded record
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return nil, fmt.Errorf("decode record of maintenance waves: %w", err)
	}
	p.restoreCalls(decoded, offset, now, repeatFrom)
	var numbers []int
	for _, waveEntry := range decoded.Waves {
		w := &wave{finishBy: waveEntry.FinishBy - offset.Estimate, progressByMachine: map[string]*machineProgress{}, status: waveEntry.Status, withdrawnAt: now}
		w.Number, w.MaxDown = waveEntry.Number, 1
		for _, m := range waveEntry.Machines {
			w.progressByMachine[m.Machine] = &machineProgress{machine: m.Machine, phase: m.Phase, runner: m.Runner, hasUnresolvedCall: true, retryAt: repeatFrom, begunAtLatest: now}
		}
		p.waves[waveEntry.Number] = w
		numbers = append(numbers, waveEntry.Number)
	}
	return numbers, nil
}
