package maintenance

import (
	"fmt"
	"testing"
	"time"
)

// testLag is how far the machine lists lag behind the machines.
const testLag = 800 * time.Millisecond

// A group of machines that takes longer than planned would make a wave with
// little slack end late, and each tenth of a wave that is late has a price.
func TestWavesWithoutFaultsCompleteInThePlannedTime(t *testing.T) {
	for _, tc := range []struct{ machines, maxDown int }{{1, 1}, {6, 1}, {7, 2}, {12, 4}, {5, 9}} {
		s := &simulation{t: t, now: faultsEnd, listLag: testLag, machines: map[string]*simMachine{}, token: 1, planner: New(testMaintenanceTime), resultsByStep: map[int][]Result{}}
		w := Wave{Number: 1, FinishWithin: time.Minute, MaxDown: tc.maxDown}
		for i := range tc.machines {
			id := fmt.Sprint("m", i)
			w.Machines = append(w.Machines, id)
			s.machines[id] = &simMachine{runner: id, maintained: map[int]bool{}, load: Load{Known: true}}
		}
		s.waves = []Wave{w}
		groups := (tc.machines + tc.maxDown - 1) / tc.maxDown
		limit := time.Duration(groups-1)*(testMaintenanceTime+groupMargin) + groupMargin
		for range testLag / simStep {
			s.listHistory = append(s.listHistory, s.machineList())
		}
		startedAt := s.now
		for s.now < startedAt+limit && !s.allCompleted() {
			s.advance()
			s.coordinate()
		}
		if !s.allCompleted() {
			t.Errorf("%d machines, %d at once: not completed after %v", tc.machines, tc.maxDown, limit)
		}
	}
}
