package entry

import (
	"context"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/policy"
	"bergamotstile/quota"
	"bergamotstile/routing"
	"bergamotstile/structs"
)

// feedInterval is the time between two passes of configuration changes and
// measurements to the policy.
const feedInterval = 500 * time.Millisecond

// policyFeed keeps the policy in step with the configuration and with what
// the request path measures.
type policyFeed struct {
	instance *Instance
	core     *core
	version  uint64
}

// Serve feeds the policy until ctx ends.
func (f *policyFeed) Serve(ctx context.Context) error {
	for {
		f.configure()
		f.observe()
		f.gauges()
		select {
		case <-ctx.Done():
			return nil
		case <-f.instance.clock.After(feedInterval):
		}
	}
}

func (f *policyFeed) configure() {
	d, version := f.instance.config.Current()
	if d == nil || version == f.version {
		return
	}
	f.core.policy.Configure(policyWeights(d), teamShares(d, f.instance.settings.Domain, f.core.shards))
	f.version = version
}

func (f *policyFeed) observe() {
	var samples []policy.ServiceSample
	for _, w := range f.core.router.RunnerSamples() {
		if w.Runner.Worker != "" {
			samples = append(samples, serviceSample(w))
		}
	}
	if len(samples) > 0 {
		f.core.policy.Observe(policy.Observation{Now: f.instance.clock.Now(), Services: samples})
	}
}

// gauges shows what this instance owns and how many requests wait here. A
// shard that is not owned has epoch 0.
func (f *policyFeed) gauges() {
	i := f.instance
	for index := range f.core.shards {
		shard := structs.ShardID{Domain: i.settings.Domain, Index: index}
		lease, _ := f.core.ownership.Held(shard)
		i.metrics.Gauge("lease_epoch_"+shard.String(), int64(lease.Epoch))
	}
	d, _ := i.config.Current()
	for _, s := range d.Services {
		i.metrics.Gauge("queue_depth_"+s.Name, int64(f.core.router.Latency(s.Name).Waiting))
	}
	for _, p := range i.view.Peers() {
		i.metrics.Gauge("config_version_of_"+p.Member.Name, int64(p.Heartbeat.ConfigVersion))
	}
}

func serviceSample(w routing.RunnerSample) policy.ServiceSample {
	slotTime := w.Window * time.Duration(max(w.Runner.Slots, 1))
	return policy.ServiceSample{
		Service: w.Runner.Service, Worker: w.Runner.Worker, Requests: w.Requests,
		Load:   min(float64(w.ServiceTime)/float64(max(slotTime, 1)), 1),
		Queue:  w.WaitingPerSlot,
		MeanMS: float64(w.ServiceTime.Microseconds()) / 1000 / float64(w.Requests),
	}
}

func policyWeights(d *declaration.Deployment) policy.Weights {
	return policy.Weights{
		TailLatency:     d.Objective.TailLatency,
		BatchThroughput: d.Objective.BatchThroughput,
		Evictions:       d.Objective.Evictions,
	}
}

// teamShares returns the part of each team's quota that a shard of a domain
// may use: the domain's part of the declared capacity, split over its shards.
// A share is never below the team's largest job, which could otherwise never
// start, so a small quota can be exceeded by that much in each other shard.
func teamShares(d *declaration.Deployment, domain string, shards int) map[string]quota.Team {
	total, own := declaredCPU(d, ""), declaredCPU(d, domain)
	part := 1.0
	if total > 0 {
		part = float64(own) / float64(total) / float64(max(shards, 1))
	}
	teams := map[string]quota.Team{}
	for _, t := range d.Teams {
		largest := largestJob(d, t.Name)
		teams[t.Name] = quota.Team{Weight: t.Weight, Limit: structs.Resources{
			CPUMilli:     max(int64(float64(t.Quota.CPUMilli)*part), largest.CPUMilli),
			MemoryMB:     max(int64(float64(t.Quota.MemoryMB)*part), largest.MemoryMB),
			Accelerators: max(int64(float64(t.Quota.Accelerators)*part), largest.Accelerators),
		}}
	}
	return teams
}

// declaredCPU sums the processors of a domain's workers; "" means all domains.
func declaredCPU(d *declaration.Deployment, domain string) int64 {
	shapes := map[string]int64{}
	for _, s := range d.WorkerShapes {
		shapes[s.Name] = s.Capacity.CPUMilli
	}
	var sum int64
	for _, each := range d.Domains {
		if domain != "" && each.Name != domain {
			continue
		}
		for _, group := range each.Workers {
			sum += int64(group.Count) * shapes[group.Shape]
		}
	}
	return sum
}

func largestJob(d *declaration.Deployment, team string) structs.Resources {
	var largest structs.Resources
	include := func(owner string, size structs.Resources) {
		if owner != team {
			return
		}
		largest.CPUMilli = max(largest.CPUMilli, size.CPUMilli)
		largest.MemoryMB = max(largest.MemoryMB, size.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, size.Accelerators)
	}
	for _, job := range d.BatchJobs {
		include(job.Team, job.Size)
	}
	for _, job := range d.StandingJobs {
		include(job.Team, job.Size)
	}
	return largest
}
