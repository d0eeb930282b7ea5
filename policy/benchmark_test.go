package policy

import (
	"fmt"
	"testing"
	"time"

	"bergamotstile/scheduler"
	"bergamotstile/structs"
)

// placementsInPlan is the number of items that one benchmarked plan places. At
// 880 starts a second and four plans a second, a plan at full design scale
// places 220.
const placementsInPlan = 220

func benchmarkSnapshot(workers int) scheduler.Snapshot {
	s := scheduler.Snapshot{Now: now}
	for i := range workers {
		w := scheduler.Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprint("r", i/6), Reachable: true,
			Capacity: structs.Resources{CPUMilli: 48_000, MemoryMB: 218_000, Accelerators: int64(i % 3)},
		}
		for j := range 8 + i%5 {
			a := scheduler.Attempt{
				Work: structs.WorkID(fmt.Sprint(i, "-", j)), Job: fmt.Sprint("job", (i+j)%12), Team: fmt.Sprint("t", j),
				Class: structs.ClassNormal, State: structs.StateRunning, Idempotent: true, Throttle: 1,
				Size: structs.Resources{CPUMilli: 3000, MemoryMB: 9000}, Used: structs.Resources{CPUMilli: 2500, MemoryMB: 8000},
			}
			w.Allocated = w.Allocated.Add(a.Size)
			w.Running = append(w.Running, a)
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range placementsInPlan {
		s.Queue = append(s.Queue, scheduler.Item{
			Work: structs.WorkID(fmt.Sprint("q", i)), Job: fmt.Sprint("job", i%12), Team: fmt.Sprint("t", i%160),
			Class: structs.ClassNormal, Size: structs.Resources{CPUMilli: 2000, MemoryMB: 4000}, Waiting: time.Minute,
		})
	}
	return s
}

// benchmarkPolicy returns a policy that has measurements of the service beside
// each worker, so that predictions are part of the benchmarked cost.
func benchmarkPolicy(s scheduler.Snapshot) *Policy {
	p := New(Settings{Weights: Weights{0.2, 0.45, 0.35}, BaselineMS: map[string]float64{"service": 100}})
	o := Observation{Now: now}
	for _, w := range s.Workers {
		o.Services = append(o.Services, ServiceSample{Service: "service", Worker: w.Name, Load: 0.5, Requests: 40, MeanMS: 105})
	}
	p.Observe(o)
	return p
}

// BenchmarkPlacement reports the time of a whole plan divided by its number of
// placements. The time includes the cost of starting the plan.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{65, 530, 5300} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := benchmarkSnapshot(workers)
			p := benchmarkPolicy(s)
			placed := 0
			for b.Loop() {
				placed += len(p.Schedule(s).Placements)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(max(1, placed)), "us/placement")
			b.ReportMetric(float64(placed)/float64(b.N), "placements/plan")
		})
	}
}
