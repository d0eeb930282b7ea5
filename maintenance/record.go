package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// record is what a successor has to know. Its times are on a clock that the
// coordinators share.
type record struct {
	Waves []waveRecord `cbor:"1,keyasint,omitempty"`
}

type waveRecord struct {
	Number   int            `cbor:"1,keyasint"`
	Status   Status         `cbor:"2,keyasint"`
	FinishBy time.Duration  `cbor:"3,keyasint,omitempty"`
	Members  []memberRecord `cbor:"4,keyasint,omitempty"`
}

type memberRecord struct {
	Machine string `cbor:"1,keyasint"`
	Phase   phase  `cbor:"2,keyasint"`
	Runner  string `cbor:"3,keyasint,omitempty"`
}

// Unrecorded returns the number of the last change, and whether it has yet to be
// recorded.
func (p *Planner) Unrecorded() (change uint64, waits bool) { return p.changes, p.changes > p.recorded }

// Recorded notes that the record is durable up to a change.
func (p *Planner) Recorded(change uint64) { p.recorded = max(p.recorded, change) }

// Encode returns the record. Offset is the shared clock less the local one.
func (p *Planner) Encode(offset time.Duration) ([]byte, error) {
	var r record
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		encoded := waveRecord{Number: number, Status: w.status}
		if w.open() {
			encoded.FinishBy = w.finishBy + offset
		}
		for _, m := range w.sorted() {
			if w.open() && m.phase > draining || m.phase == begun {
				encoded.Members = append(encoded.Members, memberRecord{Machine: m.machine, Phase: m.phase, Runner: m.runner})
			}
		}
		r.Waves = append(r.Waves, encoded)
	}
	return cbor.Marshal(r)
}

// Restore takes over a predecessor's record. Calls of the predecessor may still
// be carried out; they are repeated from a time on. It returns the numbers of the
// waves.
func (p *Planner) Restore(data []byte, offset, now, repeatFrom time.Duration) ([]int, error) {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("record of waves: %w", err)
	}
	var numbers []int
	for _, encoded := range r.Waves {
		w := &wave{finishBy: encoded.FinishBy - offset, members: map[string]*member{}, status: encoded.Status, withdrawn: now}
		w.Number, w.MaxDown = encoded.Number, 1
		for _, m := range encoded.Members {
			w.members[m.Machine] = &member{machine: m.Machine, phase: m.Phase, runner: m.Runner, doubtful: true, retryAt: repeatFrom, begunBy: now}
		}
		p.waves[encoded.Number] = w
		numbers = append(numbers, encoded.Number)
	}
	return numbers, nil
}
