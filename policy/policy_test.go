package policy

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/quota"
	"bergamotstile/scheduler"
	"bergamotstile/structs"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func cores(n int64) structs.Resources {
	return structs.Resources{CPUMilli: n * 1000, MemoryMB: n * 2000}
}

func drawSize(t *rapid.T) structs.Resources {
	return structs.Resources{
		CPUMilli:     rapid.Int64Range(0, 40_000).Draw(t, "cpu"),
		MemoryMB:     rapid.Int64Range(0, 150_000).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
	}
}

func drawSnapshot(t *rapid.T) scheduler.Snapshot {
	s := scheduler.Snapshot{Now: now, EvictionsSuspended: rapid.Bool().Draw(t, "suspended")}
	for i := range rapid.IntRange(0, 12).Draw(t, "workers") {
		w := scheduler.Worker{
			Name: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i%3),
			Capacity:  structs.Resources{CPUMilli: 32_000, MemoryMB: 125_000, Accelerators: int64(i % 3)},
			Leaving:   rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
			Reachable: rapid.IntRange(0, 5).Draw(t, "reachable") != 0,
		}
		for j := range rapid.IntRange(0, 4).Draw(t, "running") {
			a := scheduler.Attempt{
				Work: structs.WorkID(fmt.Sprint("a", i, j)), Job: fmt.Sprint("job", j%3), Team: fmt.Sprint("t", j%2),
				State: structs.StateRunning, Class: structs.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Throttle: 1,
				Size: structs.Resources{CPUMilli: rapid.Int64Range(0, 10_000).Draw(t, "runningCPU"), MemoryMB: 1000},
			}
			w.Allocated = w.Allocated.Add(a.Size)
			w.Running = append(w.Running, a)
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(0, 30).Draw(t, "queue") {
		s.Queue = append(s.Queue, scheduler.Item{
			Work: structs.WorkID(fmt.Sprint("q", i)), Job: fmt.Sprint("job", i%4), Team: fmt.Sprint("t", i%2),
			Class: structs.Class(rapid.IntRange(0, 2).Draw(t, "class")), Size: drawSize(t), Idempotent: true,
			Waiting: time.Duration(rapid.IntRange(0, 7200).Draw(t, "waiting")) * time.Second,
		})
	}
	return s
}

func drawSettings(t *rapid.T) Settings {
	s := Settings{
		Weights:  Weights{rapid.Float64Range(0, 1).Draw(t, "tail"), rapid.Float64Range(0, 1).Draw(t, "batch"), rapid.Float64Range(0, 1).Draw(t, "evictions")},
		Teams:    map[string]quota.Team{"t0": {Limit: structs.Resources{CPUMilli: 100_000}}},
		Disabled: map[Mechanism]bool{},
	}
	for _, m := range Mechanisms {
		s.Disabled[m] = rapid.IntRange(0, 4).Draw(t, string(m)) == 0
	}
	return s
}

// Guards properties P1 (capacity) and P2 (one place at a time) of package
// history at the making of plans: a plan must not allocate more than a worker's
// declared capacity, place an item on a worker that may receive no items, or
// name an item twice. This must hold for all weights and with any mechanism
// disabled.
func TestPlansStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(drawSettings(t))
		for range 2 {
			checkPlan(t, p, drawSnapshot(t))
		}
	})
}

func checkPlan(t *rapid.T, p *Policy, s scheduler.Snapshot) {
	plan := p.Schedule(s)
	workers, items := map[string]scheduler.Worker{}, map[structs.WorkID]scheduler.Item{}
	for _, w := range s.Workers {
		workers[w.Name] = w
	}
	for _, item := range s.Queue {
		items[item.Work] = item
	}
	takeItem := func(id structs.WorkID) scheduler.Item {
		item, ok := items[id]
		if !ok {
			t.Fatalf("%s is not queued or is named twice", id)
		}
		delete(items, id)
		return item
	}
	for _, placement := range plan.Placements {
		w := workers[placement.Worker]
		w.Allocated = w.Allocated.Add(takeItem(placement.Work).Size)
		workers[placement.Worker] = w
		if w.Leaving || !w.Reachable || !w.Allocated.Fits(w.Capacity) {
			t.Fatalf("%s may not be placed on %+v", placement.Work, w)
		}
	}
	for _, refusal := range plan.Refusals {
		takeItem(refusal.Work)
	}
	if s.EvictionsSuspended && len(plan.Evictions) > 0 {
		t.Fatal("eviction while evictions are suspended")
	}
}

// Guards against urgent work that waits because batch work of its team uses the
// whole quota of the team. The urgent item must replace work of its own team
// only.
func TestUrgentWorkReplacesItsTeamsBatchAtQuota(t *testing.T) {
	p := New(Settings{Teams: map[string]quota.Team{"t": {Limit: cores(8)}}})
	s := scheduler.Snapshot{Now: now, Workers: []scheduler.Worker{{
		Name: "w", Capacity: cores(32), Allocated: cores(16), Reachable: true,
		Running: []scheduler.Attempt{
			{Work: "own", Team: "t", Class: structs.ClassNormal, State: structs.StateRunning, Size: cores(8), Idempotent: true},
			{Work: "other", Team: "u", Class: structs.ClassNormal, State: structs.StateRunning, Size: cores(8), Idempotent: true},
		},
	}}}
	s.Queue = []scheduler.Item{{Work: "urgent", Team: "t", Class: structs.ClassUrgent, Size: cores(4)}}
	plan := p.Schedule(s)
	if len(plan.Evictions) != 1 || plan.Evictions[0].Work != "own" {
		t.Fatalf("evictions %v", plan.Evictions)
	}
	if again := p.Schedule(s); len(again.Evictions) > 0 {
		t.Fatalf("work is evicted again for an item that has a reservation: %v", again.Evictions)
	}
}

// Guards against two urgent items of one team that rely on the same evicted
// work, so that the second item would wait until the reservation ends.
func TestUrgentItemsAtQuotaDoNotShareAVictim(t *testing.T) {
	p := New(Settings{Teams: map[string]quota.Team{"t": {Limit: cores(8)}}})
	running := func(id structs.WorkID, state structs.WorkState) scheduler.Attempt {
		return scheduler.Attempt{Work: id, Team: "t", Class: structs.ClassNormal, State: state, Size: cores(4), Idempotent: true}
	}
	s := scheduler.Snapshot{Now: now, Workers: []scheduler.Worker{{
		Name: "w", Capacity: cores(32), Allocated: cores(8), Reachable: true,
		Running: []scheduler.Attempt{running("first", structs.StateRunning), running("second", structs.StateRunning)},
	}}}
	s.Queue = []scheduler.Item{{Work: "u1", Team: "t", Class: structs.ClassUrgent, Size: cores(4), Waiting: time.Second}}
	if plan := p.Schedule(s); len(plan.Evictions) != 1 || plan.Evictions[0].Work != "first" {
		t.Fatalf("evictions %v", plan.Evictions)
	}
	s.Workers[0].Running[0].State = structs.StateEvicting
	s.Queue = append(s.Queue, scheduler.Item{Work: "u2", Team: "t", Class: structs.ClassUrgent, Size: cores(4)})
	if plan := p.Schedule(s); len(plan.Evictions) != 1 || plan.Evictions[0].Work != "second" {
		t.Fatalf("evictions for the second item %v", plan.Evictions)
	}
}

// Guards against batch work that takes the quota released for urgent work of
// its team by the first of several victims.
func TestReleasedQuotaIsKeptForUrgentWork(t *testing.T) {
	p := New(Settings{Teams: map[string]quota.Team{"t": {Limit: cores(8)}}})
	s := scheduler.Snapshot{Now: now, Workers: []scheduler.Worker{{
		Name: "w", Capacity: cores(32), Allocated: cores(6), Reachable: true,
		Running: []scheduler.Attempt{{Work: "a", Team: "t", Class: structs.ClassNormal, State: structs.StateRunning, Size: cores(6), Idempotent: true}},
	}}}
	s.Queue = []scheduler.Item{
		{Work: "batch", Team: "t", Class: structs.ClassNormal, Size: cores(2), Waiting: time.Minute},
		{Work: "urgent", Team: "t", Class: structs.ClassUrgent, Size: cores(4)},
	}
	if plan := p.Schedule(s); len(plan.Placements) > 0 {
		t.Fatalf("placements %v", plan.Placements)
	}
}

// Guards against urgent work that keeps waiting for capacity on a worker that
// has failed since the eviction there began.
func TestUrgentWorkIsNotReservedOnAWorkerThatFails(t *testing.T) {
	p := New(Settings{})
	worker := func(name string, id structs.WorkID) scheduler.Worker {
		return scheduler.Worker{
			Name: name, Capacity: cores(8), Allocated: cores(8), Reachable: true,
			Running: []scheduler.Attempt{{Work: id, Class: structs.ClassNormal, State: structs.StateRunning, Size: cores(8), Idempotent: true}},
		}
	}
	s := scheduler.Snapshot{Now: now, Workers: []scheduler.Worker{worker("a", "on-a"), worker("b", "on-b")}}
	s.Queue = []scheduler.Item{{Work: "urgent", Class: structs.ClassUrgent, Size: cores(4)}}
	if plan := p.Schedule(s); len(plan.Evictions) != 1 || plan.Evictions[0].Work != "on-a" {
		t.Fatalf("evictions %v", plan.Evictions)
	}
	s.Workers[0].Reachable = false
	if plan := p.Schedule(s); len(plan.Evictions) != 1 || plan.Evictions[0].Work != "on-b" {
		t.Fatalf("evictions after the failure %v", plan.Evictions)
	}
}

// Guards against a large aged item that waits for ever because smaller items
// take each core that becomes free.
func TestAgedItemIsNotOvertaken(t *testing.T) {
	p := New(Settings{})
	s := scheduler.Snapshot{Now: now, Workers: []scheduler.Worker{{
		Name: "w", Capacity: cores(32), Allocated: cores(16), Reachable: true,
		Running: []scheduler.Attempt{{Work: "a", State: structs.StateRunning, Size: cores(16)}},
	}}}
	s.Queue = []scheduler.Item{
		{Work: "large", Class: structs.ClassNormal, Size: cores(30), Waiting: 5 * time.Hour},
		{Work: "small", Class: structs.ClassNormal, Size: cores(2), Waiting: time.Second},
	}
	if plan := p.Schedule(s); len(plan.Placements) > 0 {
		t.Fatalf("placed %v before the aged item", plan.Placements)
	}
}

// Guards against refusing an item for good that only has to wait for free
// capacity.
func TestOnlyImpossibleWorkIsRefused(t *testing.T) {
	p := New(Settings{})
	s := scheduler.Snapshot{Now: now, Workers: []scheduler.Worker{{Name: "w", Capacity: cores(32), Allocated: cores(32), Reachable: true}}}
	s.Queue = []scheduler.Item{{Work: "fits", Size: cores(32), Waiting: time.Hour}, {Work: "never", Size: cores(33), Waiting: time.Hour}}
	plan := p.Schedule(s)
	if len(plan.Refusals) != 1 || plan.Refusals[0].Work != "never" || plan.Refusals[0].Reason != structs.ReasonNeverFits {
		t.Fatalf("refusals %v", plan.Refusals)
	}
}
