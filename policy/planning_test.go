package policy

import (
	"testing"
	"time"

	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// Guards against refusing an item as too large while workers have not yet
// reported their capacity, as happens right after a takeover.
func TestNeverFitsWaitsForWorkersToReport(t *testing.T) {
	size := structs.Resources{CPUMilli: 2000, MemoryMB: 1000}
	small := scheduler.Worker{Name: "small", Capacity: structs.Resources{CPUMilli: 1000, MemoryMB: 1000}}
	silent := scheduler.Worker{Name: "silent"}
	cases := []struct {
		name    string
		workers []scheduler.Worker
		waiting time.Duration
		refused int
	}{
		{"no workers", nil, time.Hour, 0},
		{"one worker has not reported", []scheduler.Worker{silent, small}, time.Hour, 0},
		{"just submitted", []scheduler.Worker{small}, 0, 0},
		{"larger than every worker", []scheduler.Worker{small}, time.Hour, 1},
	}
	for _, c := range cases {
		item := scheduler.Item{Work: "w", Size: size, Waiting: c.waiting}
		plan := New(Settings{}).Schedule(scheduler.Snapshot{Now: time.Unix(1000, 0), Workers: c.workers, Queue: []scheduler.Item{item}})
		if len(plan.Refusals) != c.refused {
			t.Errorf("%s: %d refusals, want %d", c.name, len(plan.Refusals), c.refused)
		}
	}
}
