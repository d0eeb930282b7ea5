package coordinator

import (
	"testing"
	"time"
)

// Clients of one site state times that are off by a factor of 2.5 either way. A
// job must be judged by what its tasks are seen to take, else one in time is put
// behind all others, or one that is hopeless before them.
func TestProgressCorrectsTheStatedTime(t *testing.T) {
	w := newWorld(t, machine("a", 8_000))
	j := w.accept(firstID, false, plain(2, 2000), plain(1, 2000, 0))
	orders := starts(w.schedule())
	for _, o := range orders {
		w.answer(o, Accepted, false)
	}
	for percent := 0; percent <= 50; percent += 10 {
		var running []RunStatus
		for _, o := range orders {
			running = append(running, RunStatus{Task: o.Task, Run: o.Run, Percent: percent, Load: 2000})
		}
		w.now += 499 * time.Millisecond // 1 ms more passes with the report
		w.report(Report{Runner: "a", Incarnation: 1, Running: running})
	}
	const want = 5 * time.Second
	if got := w.core.jobs[firstID].measured[0]; got < want*9/10 || got > want*11/10 {
		t.Errorf("tasks that do a tenth in half a second are taken to need %v, want %v", got, want)
	}
	// The queue has seen one task of five seconds where one was stated.
	if got := w.core.durationsOf(w.core.jobs[firstID]).Expect(time.Second); got <= time.Second {
		t.Errorf("the next task is expected to take %v", got)
	}
	if got := w.core.jobs[firstID].allowed; got < j.Queue.TargetLatency+time.Duration(j.Queue.Stretch*float64(want)) {
		t.Errorf("the job is allowed %v", got)
	}
}

// Slowed tasks take longer without being larger.
func TestSlowedTaskIsNotTakenForALargeOne(t *testing.T) {
	var g workMeter
	var takes time.Duration
	for i := range 9 {
		takes = g.read(5*i, 400, 2000, time.Duration(i+1)*500*time.Millisecond)
	}
	const want = 2 * time.Second // a tenth a second with a fifth of the processors
	if takes < want*9/10 || takes > want*11/10 {
		t.Errorf("measured %v, want %v", takes, want)
	}
}
