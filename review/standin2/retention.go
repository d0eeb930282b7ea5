//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/rowstore"
	"bergamotstile/structs"
)

// Figures of the case.
const (
	jobsPerSecond    = 9.5               // of the site olcds-sched: 2.44 + 2.77 + 2.15 + 2.14
	removedPerSecond = 6.4               // as the script measures it: 64 jobs every 10 s
	retentionTime    = 150 * time.Second // status_s and the 30 s that the program adds
	uptime           = 48 * time.Hour
)

// endedSpec returns the job with a number: of 9 jobs 4 are proofs and 5 die paths, with the mean
// sizes of the site olcds-sched.
func endedSpec(number int) jobs.Spec {
	bytes, tasks, cpu, steps := 500, 8, int64(3500), 2
	if number%9 < 4 {
		bytes, tasks, cpu, steps = 150, 6, 2300, 1+number%2
	}
	spec := jobs.Spec{Text: strings.Repeat("x", bytes)}
	for i := range steps {
		step := jobs.Step{Count: tasks, Resources: structs.Resources{CPUMilli: cpu, MemoryMB: 4600}, Estimate: time.Second}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// fillEndedJobs writes the rows of n ended jobs as the program itself writes them. The oldest one
// ended age ago by the store's clock, the newest one just now.
func (d *deployment) fillEndedJobs(n int, age time.Duration) error {
	queue := jobs.Queue{Name: "r-1", Service: serviceName, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
	now := time.Since(d.store.started)
	for i := 0; i < n; {
		byPart := map[string][]rowstore.Put{}
		for range 500 {
			if i == n {
				break
			}
			id := jobs.ID(fmt.Sprintf("%016x", 0xdddd0000000+i))
			ended := now - age + time.Duration(float64(age)*float64(i)/float64(n))
			spec := endedSpec(i)
			value, err := jobs.EncodeAccepted(queue, spec, ended-5*time.Second)
			if err != nil {
				return err
			}
			j := jobs.New(id, queue, spec, ended-5*time.Second, 1)
			j.State = jobs.Completed
			progress, err := jobs.EncodeProgress(j, ended)
			if err != nil {
				return err
			}
			part := gateway.PartOf(id)
			byPart[part] = append(byPart[part], rowstore.Put{Key: gateway.AcceptedKey(id), Value: value}, rowstore.Put{Key: gateway.ProgressKey(id), Value: progress})
			i++
		}
		for _, puts := range byPart {
			if _, err := d.store.rows.Commit(rowstore.Transaction{Puts: puts}); err != nil {
				return err
			}
		}
	}
	return nil
}

// countRows returns how many rows of a table the store holds.
func (d *deployment) countRows(table string) int {
	n := 0
	for _, part := range gateway.Parts() {
		n += d.store.rows.count(table, part)
	}
	return n
}

// playRetention starts all processes on a store with the jobs that uptime of traffic has left, as
// after a loss of power of all machines. Without the disruption the store holds only the jobs
// that ended in the last retentionTime.
func playRetention(ctx context.Context, rec *record, trouble bool) (string, error) {
	d := newDeployment(rec)
	defer d.close()
	d.memLimitMB = memoryMB
	if err := d.startStore(); err != nil {
		return "", err
	}
	d.store.started = d.store.started.Add(-2 * uptime) // the store's clock
	n, age := int(jobsPerSecond*retentionTime.Seconds()), retentionTime
	if trouble {
		age = uptime
		n += int((jobsPerSecond - removedPerSecond) * uptime.Seconds())
	}
	if err := d.fillEndedJobs(n, age); err != nil {
		return "", err
	}
	rec.write("the store holds %d ended jobs of the last %v", n, age)
	for i := range 12 {
		r, err := startRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), 32000, rec, func(string, int) taskPlan { return taskPlan{work: ordinaryWork} })
		if err != nil {
			return "", err
		}
		d.runners = append(d.runners, r)
		d.register(r)
	}
	d.configure(1, 3)
	for i := range instanceCount {
		if err := d.addInstance(i); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	c := newClients(d)
	var accepted []string
	before := d.countRows(gateway.JobsTable)
	began := time.Now()
	for i := 0; time.Since(began) < trafficTime; i++ {
		id := fmt.Sprintf("%016x", 0xabc0000+i)
		if c.submit(id, ordinaryJob()) {
			accepted = append(accepted, id)
		}
		if err := sleep(ctx, 250*time.Millisecond); err != nil {
			return "", err
		}
	}
	rec.write("end of the traffic, %d jobs accepted; rows of jobs: %d before, %d now", len(accepted), before, d.countRows(gateway.JobsTable))
	if err := sleep(ctx, finishTime); err != nil {
		return "", err
	}
	broken := d.findIdleJob(ctx, c, accepted)
	d.recordEnds()
	return broken, nil
}
