package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/structs"
)

// The fleet and the load of BenchmarkGrownFleet: more filling work than fits, so that
// several hundred jobs wait.
const (
	grownRunners  = 490
	grownRack     = 20
	grownServing  = 90  // long-running jobs, taken on first
	grownJobs     = 110 // a second of virtual time
	grownSeconds  = 12
	grownRoundGap = 5 * time.Millisecond // of virtual time between two rounds
)

// grownFleet runs what a Core orders in virtual time.
type grownFleet struct {
	world  *world
	random *rand.Rand
	runs   map[string]map[jobs.TaskID]*grownRun // by runner
	ended  map[string][]RunEnd
	next   map[string]int
}

type grownRun struct {
	number int
	pace   int
	load   int
	left   time.Duration
	seen   time.Duration
}

func newGrownFleet(t testing.TB) *grownFleet {
	f := &grownFleet{world: newWorld(&testing.T{}), random: rand.New(rand.NewPCG(1, 2)), runs: map[string]map[jobs.TaskID]*grownRun{},
		ended: map[string][]RunEnd{}, next: map[string]int{}}
	for i := range grownRunners {
		info := machine(fmt.Sprintf("m%03d", i), 64_000)
		info.Rack = fmt.Sprint("r", i/grownRack)
		info.Capacity.MemoryMB = 256_000
		f.world.core.RunnerSeen(info, f.world.now)
		f.world.report(Report{Runner: info.ID, Incarnation: 1})
		f.runs[info.ID] = map[jobs.TaskID]*grownRun{}
	}
	for i := range grownServing {
		s := serving(fmt.Sprint("shop", i%5))
		s.Count, s.Resources = 14, structs.Resources{CPUMilli: 13_000, MemoryMB: 26_000}
		f.world.accept(jobs.ID(fmt.Sprintf("%016x", i)), false, s)
	}
	f.round(0)
	return f
}

// submit accepts one job: of filling or of plain work.
func (f *grownFleet) submit(number int) {
	id := jobs.ID(fmt.Sprintf("%016x", 0x10000+number))
	if number%5 < 2 {
		s := plain(10, 11_000)
		s.Resources.MemoryMB, s.Estimate = 22_000, 800*time.Millisecond
		f.world.accept(id, false, s)
		return
	}
	first := filling(20, fmt.Sprint("render", number%9))
	first.Resources = structs.Resources{CPUMilli: 7000, MemoryMB: 13_000}
	first.Estimate = 2200 * time.Millisecond
	second := first
	second.After = []int{0}
	f.world.accept(id, false, first, second)
}

// round lets the core schedule and carries its orders out.
func (f *grownFleet) round(now time.Duration) {
	w := f.world
	w.core.Schedule(w.now, 0)
	for _, o := range w.core.TakeOrders() {
		runs := f.runs[o.Runner]
		switch o.Kind {
		case Start:
			j := w.core.jobs[o.Task.Job]
			x := &grownRun{number: o.Run, pace: fullPace, seen: w.now, load: 3000}
			if step := j.Spec.Steps[o.Task.Step]; step.LongRunning {
				x.load = 10 + f.random.IntN(25)
			} else {
				x.left = step.Estimate
			}
			runs[o.Task] = x
			w.core.Answered(Answer{Order: o, Outcome: Accepted}, w.now)
		case Stop:
			if runs[o.Task] != nil {
				f.end(o.Runner, o.Task, EndedStopped)
			}
			w.core.Answered(Answer{Order: o, Outcome: Accepted}, w.now)
		case Pace:
			if x := runs[o.Task]; x != nil {
				x.pace = o.Percent
			}
		}
	}
}

func (f *grownFleet) end(runner string, id jobs.TaskID, how How) {
	f.next[runner]++
	f.ended[runner] = append(f.ended[runner], RunEnd{Number: f.next[runner], Task: id, Run: f.runs[runner][id].number, How: how})
	delete(f.runs[runner], id)
}

// advance lets a runner work, and reports whether a run has ended.
func (f *grownFleet) advance(runner string) bool {
	for id, x := range f.runs[runner] {
		if x.left == 0 {
			x.load = max(5, min(44, x.load+f.random.IntN(7)-3))
			continue
		}
		x.left -= (f.world.now - x.seen) * time.Duration(x.pace) / fullPace
		x.seen = f.world.now
		if x.left <= 0 {
			f.end(runner, id, EndedDone)
		}
	}
	return len(f.ended[runner]) > 0
}

func (f *grownFleet) report(runner string) {
	rep := Report{Runner: runner, Incarnation: 1, Ended: f.ended[runner], Sent: f.world.now}
	for id, x := range f.runs[runner] {
		rep.Running = append(rep.Running, RunStatus{Task: id, Run: x.number, Percent: 100, Load: x.load})
	}
	f.ended[runner] = nil
	f.world.core.Report(rep, f.world.now)
}

// BenchmarkGrownFleet measures the decisions for grownSeconds of a fleet of 490 runners
// under a backlog. Reported is the processor time a second of virtual time.
func BenchmarkGrownFleet(b *testing.B) {
	for b.Loop() {
		f := newGrownFleet(b)
		w := f.world
		begun, reports, jobsTaken := w.now, 0, 0
		last := make([]time.Duration, grownRunners)
		started := time.Now()
		for elapsed := time.Duration(0); elapsed < grownSeconds*time.Second; elapsed += grownRoundGap {
			w.now = begun + elapsed
			for due := int(elapsed * grownJobs / time.Second); jobsTaken < due; jobsTaken++ {
				f.submit(jobsTaken)
			}
			for i := range grownRunners {
				id := fmt.Sprintf("m%03d", i)
				if elapsed-last[i] < 20*time.Millisecond {
					continue
				}
				if f.advance(id) || elapsed-last[i] >= 500*time.Millisecond {
					last[i] = elapsed
					f.report(id)
					reports++
				}
			}
			f.round(w.now)
			if elapsed%(100*time.Millisecond) == 0 {
				w.core.Watch(w.now)
			}
			if _, _, err := w.core.TakeWrites(w.now); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(time.Since(started).Seconds()*1000/grownSeconds, "ms/s")
		b.ReportMetric(float64(reports)/grownSeconds, "reports/s")
		b.ReportMetric(float64(len(w.core.waiting)), "waiting")
	}
}
