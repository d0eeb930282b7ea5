package coordinator

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/jobs"
)

// BenchmarkStartCopies measures a decision on copies with 500 runners and 4,000 runs that may have
// copies, of which one in 33 is slow. Runners have no free capacity, so none is started.
func BenchmarkStartCopies(b *testing.B) {
	const runners, perRunner = 500, 8
	h := &copyHarness{coreHarness: &coreHarness{t: nil, now: time.Second, core: New(Limits{}, discardLog(), nil)}}
	h.core.Configure([]jobs.Queue{testQueue})
	h.addRatios(2*minRatios, 1)
	for i := range runners {
		id := fmt.Sprintf("m%03d", i)
		h.core.UpdateRunner(testRunner(id, perRunner*1000), h.now)
		h.core.ApplyReport(Report{Runner: id, Incarnation: 1, Sent: h.now}, h.now)
	}
	for i := range runners * perRunner / 40 {
		id := jobs.ID(fmt.Sprintf("d%015x", i))
		h.core.AddJob(jobs.New(id, testQueue, jobs.Spec{Text: "text", Steps: []jobs.Step{speculativeStep(40)}}, h.now, 1), false, 0)
	}
	h.core.Schedule(h.now, 0)
	for i, order := range h.core.TakeOrders() {
		h.core.ApplyAnswer(Answer{Order: order, Outcome: Accepted}, h.now)
		run := h.core.runners[order.Runner].findRun(order.Task, order.Run)
		run.recordStatus(RunStatus{Task: order.Task, Run: order.Run, Percent: 1}, h.now)
		percent := 60
		if i%33 == 0 {
			percent = 10
		}
		run.recordStatus(RunStatus{Task: order.Task, Run: order.Run, Percent: percent}, h.now+600*time.Millisecond)
	}
	b.ResetTimer()
	for range b.N {
		h.core.speculation.nextDecision = 0
		h.core.startCopies(h.now + 600*time.Millisecond)
	}
}
