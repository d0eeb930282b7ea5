package maintenance

import (
	"fmt"
	"testing"
	"time"
)

const testLag = 800 * time.Millisecond

// A turn that took longer than planned would let a wave with little slack end
// late: each tenth of one that is late is priced. Lists lag by testLag.
func TestWavesWithoutFaultsTakeAsLongAsPlanned(t *testing.T) {
	for _, c := range []struct{ machines, atOnce int }{{1, 1}, {6, 1}, {7, 2}, {12, 4}, {5, 9}} {
		s := &sim{t: t, now: calmFrom, lag: testLag, machines: map[string]*simMachine{}, token: 1, planner: New(testUpkeep), late: map[int][]Result{}}
		w := Wave{Number: 1, Within: time.Minute, MaxDown: c.atOnce}
		for i := range c.machines {
			id := fmt.Sprint("m", i)
			w.Machines = append(w.Machines, id)
			s.machines[id] = &simMachine{runner: id, done: map[int]bool{}, load: Load{Known: true}}
		}
		s.waves = []Wave{w}
		turns := (c.machines + c.atOnce - 1) / c.atOnce
		limit := time.Duration(turns-1)*(testUpkeep+cycleMargin) + cycleMargin
		for range testLag / step {
			s.history = append(s.history, s.list())
		}
		begun := s.now
		for s.now < begun+limit && !s.completed() {
			s.advance()
			s.tick()
		}
		if !s.completed() {
			t.Errorf("%d machines, %d at once: not completed after %v", c.machines, c.atOnce, limit)
		}
	}
}
