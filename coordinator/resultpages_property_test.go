package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// pagedRunner is a model of a runner that lists a limited number of results in a report.
type pagedRunner struct {
	pageSize   int
	running    map[jobs.TaskID]int // run numbers
	results    []RunResult         // that are not forgotten
	lastNumber int
	mostListed int // the largest number of results that were not forgotten
}

// end ends a run as done.
func (r *pagedRunner) end(id jobs.TaskID) {
	r.lastNumber++
	r.results = append(r.results, RunResult{Number: r.lastNumber, Task: id, Run: r.running[id], Kind: EndedDone})
	r.mostListed = max(r.mostListed, len(r.results))
	delete(r.running, id)
}

// poll forgets the acknowledged results and returns a report.
func (r *pagedRunner) poll(acknowledged int, now time.Duration) Report {
	for len(r.results) > 0 && r.results[0].Number <= acknowledged {
		r.results = r.results[1:]
	}
	report := Report{Runner: "a", Incarnation: 1, Sent: now}
	report.Ended = append(report.Ended, r.results[:min(len(r.results), r.pageSize)]...)
	report.Incomplete = len(report.Ended) == r.pageSize
	for id, run := range r.running {
		report.Running = append(report.Running, RunStatus{Task: id, Run: run})
	}
	return report
}

// pagedPlay plays a job of many tasks on a pagedRunner while the store is away at times and
// coordinators take over from each other.
type pagedPlay struct {
	*coreHarness
	name         string
	random       *rand.Rand
	runner       *pagedRunner
	limit        int
	done         map[jobs.TaskID]bool
	stored       []byte // progress of the job, nil if none
	acknowledged int    // number up to which results are stored
	job          *jobs.Job
	delayed      *Report // a report that has not reached the coordinator; a link sends no other poll meanwhile
}

// takeOver lets a successor take over that knows what is stored.
func (p *pagedPlay) takeOver() {
	p.coreHarness = newCoreHarness(p.t)
	p.core.limits.MaxListedResults = p.limit
	p.core.SetInheritedRunners([]InheritedRunner{{ID: "a", ExpiredAt: p.now + 100*time.Millisecond}}, p.now+100*time.Millisecond)
	p.job = jobs.New(firstID, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(200, 1000)}}, 0, 1)
	if p.stored != nil {
		if err := p.job.Restore(p.stored); err != nil {
			p.t.Fatal(err)
		}
	}
	p.core.AddJob(p.job, true, 0)
	p.core.UpdateRunner(testRunner("a", 20_000), p.now)
	p.delayed = nil
}

// store stores the progress and acknowledges results.
func (p *pagedPlay) store() {
	writes, acknowledged, err := p.core.TakeWrites(p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, write := range writes {
		p.stored = write.Value
	}
	p.acknowledged = max(p.acknowledged, acknowledged["a"].Number)
	p.core.Acknowledge("a", acknowledged["a"])
}

// start carries out the starts that the coordinator orders.
func (p *pagedPlay) start() {
	for _, order := range startOrders(p.schedule()) {
		if _, runs := p.runner.running[order.Task]; runs || p.done[order.Task] {
			p.t.Fatalf("%s: task %v is started again: it runs: %v, it is done: %v", p.name, order.Task, runs, p.done[order.Task])
		}
		p.runner.running[order.Task] = order.Run
		p.answer(order, Accepted, false)
	}
}

// endSome ends each run with a probability of 1 in n.
func (p *pagedPlay) endSome(n int) {
	for index := range 200 {
		id := taskID(firstID, 0, index)
		if _, runs := p.runner.running[id]; runs && p.random.IntN(n) == 0 {
			p.runner.end(id)
			p.done[id] = true
		}
	}
}

// step plays one random event.
func (p *pagedPlay) step(isStoreAway bool) {
	p.now += 10 * time.Millisecond
	switch n := p.random.IntN(100); {
	case n < 30:
		p.endSome(4)
	case n < 45 && p.delayed == nil:
		p.report(p.runner.poll(p.acknowledged, p.now))
	case n < 55 && p.delayed == nil: // this report reaches the coordinator later
		report := p.runner.poll(p.acknowledged, p.now)
		p.delayed = &report
	case n < 70 && p.delayed != nil:
		p.report(*p.delayed)
		p.delayed = nil
	case n < 85:
		p.start()
	case n < 97 && !isStoreAway:
		p.store()
	case n == 97:
		p.takeOver()
	case p.core.runners["a"].hasReported: // leases on a runner that has not answered would end its runs
		p.core.ResolveExpiredRunners(p.now, hasReported(p.core))
		p.core.CheckRuns(p.now)
	}
}

// Guards against a task that is started again while it runs or after it is done, against one that
// is never started, and against lists of results that grow beyond one report: with any order of
// ends, reports, starts, writes and takeovers, and a store that is away for some of the time.
func TestTasksRunOnceWhateverPagesOfResultsComeWhen(t *testing.T) {
	const pageSize = 8
	for seed := range uint64(100) {
		for _, limit := range []int{0, pageSize} { // without the limit, lists grow longer than a page
			p := &pagedPlay{coreHarness: &coreHarness{t: t, now: time.Second}, random: rand.New(rand.NewPCG(seed, 28)), limit: limit,
				name:   fmt.Sprintf("seed %d, limit %d", seed, limit),
				runner: &pagedRunner{pageSize: pageSize, running: map[jobs.TaskID]int{}}, done: map[jobs.TaskID]bool{}}
			p.takeOver()
			for step := 0; len(p.done) < 200; step++ {
				p.step(step/100%2 == 1)
				if step > 20_000 {
					t.Fatalf("seed %d, limit %d: %d of 200 tasks are done", seed, limit, len(p.done))
				}
			}
			if limit > 0 && p.runner.mostListed > 2*pageSize || limit == 0 && p.runner.mostListed <= pageSize {
				t.Errorf("seed %d, limit %d: up to %d results waited", seed, limit, p.runner.mostListed)
			}
		}
	}
}
