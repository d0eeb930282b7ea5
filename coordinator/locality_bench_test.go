package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// BenchmarkRoundWithDataRacks measures one scheduling round of a fleet of 490 runners with 16 runs
// each, on which 300 steps wait. One small runner is free, so that each step could start far away
// and has to be weighed; nothing is started, since all decline it. The variants differ only in
// whether the steps name racks; without, they find no runner.
func BenchmarkRoundWithDataRacks(b *testing.B) {
	for _, racks := range []int{0, 1, simulatedRunners / runnersPerRack} {
		b.Run(fmt.Sprint("racks ", racks), func(b *testing.B) {
			core, now := fullFleet(racks)
			b.ResetTimer()
			for b.Loop() {
				now += time.Microsecond
				core.Schedule(now, 0)
			}
			if starts := len(startOrders(core.TakeOrders())); starts > 0 {
				b.Errorf("%d starts, want none", starts)
			}
		})
	}
}

// fullFleet returns a core whose runners are in use but for one that is free, and whose waiting
// steps name so many racks, and the time of its last report.
func fullFleet(racks int) (*Core, time.Duration) {
	h := newCoreHarness(&testing.T{})
	quiet := discardLog()
	quiet.SetLevel(logrus.ErrorLevel)
	h.core.log = quiet
	for i := range simulatedRunners {
		info := testRunner(fmt.Sprintf("m%03d", i), 64_000)
		info.Rack = fmt.Sprint("r", i/runnersPerRack)
		h.core.UpdateRunner(info, h.now)
		h.report(Report{Runner: info.ID, Incarnation: 1})
	}
	for i := range simulatedRunners {
		step := plainStep(16, 4000)
		step.Estimate = time.Duration(2000+7*i) * time.Millisecond
		h.startJob(jobs.ID(fmt.Sprintf("%016x", 0x10000+i)), step)
	}
	if racks > 0 {
		free := testRunner("free", 4000)
		free.Rack = "free"
		h.core.UpdateRunner(free, h.now)
		h.report(Report{Runner: "free", Incarnation: 1})
	}
	for i := range 300 {
		step := plainStep(1, 4000)
		step.Estimate = 20 * time.Second
		if racks > 0 {
			step.DataRack = fmt.Sprint("r", i%racks)
		}
		h.addJob(jobs.ID(fmt.Sprintf("%016x", 0x20000+i)), false, step)
	}
	return h.core, h.now
}
