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

// feedInterval is how often policyFeed updates the policy and the gauges.
const feedInterval = 500 * time.Millisecond

// policyFeed passes new configurations and the measurements of the request path to the
// policy, and sets the gauges of the instance.
type policyFeed struct {
	instance   *Instance
	components *shardComponents
	version    uint64
}

// Serve updates the policy and the gauges until ctx ends.
func (f *policyFeed) Serve(ctx context.Context) error {
	for {
		f.updateConfiguration()
		f.reportMeasurements()
		f.setGauges()
		select {
		case <-ctx.Done():
			return nil
		case <-f.instance.clock.After(feedInterval):
		}
	}
}

func (f *policyFeed) updateConfiguration() {
	d, version := f.instance.config.Current()
	if d == nil || version == f.version {
		return
	}
	f.components.policy.Configure(policyWeights(d), teamShares(d, f.instance.settings.Domain, f.components.shards))
	f.version = version
}

func (f *policyFeed) reportMeasurements() {
	var samples []policy.ServiceSample
	for _, sample := range f.components.router.RunnerSamples() {
		if sample.Runner.Worker != "" {
			samples = append(samples, serviceSample(sample))
		}
	}
	if len(samples) > 0 {
		f.components.policy.Observe(policy.Observation{Now: f.instance.clock.Now(), Services: samples})
	}
}

// setGauges sets the gauges of the epochs of the leases, of the requests that wait on this
// instance, and of the configuration versions of peers. The epoch is 0 for a shard whose
// lease this instance does not hold.
func (f *policyFeed) setGauges() {
	i := f.instance
	for index := range f.components.shards {
		shard := structs.ShardID{Domain: i.settings.Domain, Index: index}
		lease, _ := f.components.ownership.HeldLease(shard)
		i.metrics.Gauge("lease_epoch_"+shard.String(), int64(lease.Epoch))
	}
	d, _ := i.config.Current()
	for _, s := range d.Services {
		i.metrics.Gauge("queue_depth_"+s.Name, int64(f.components.router.Latency(s.Name).Waiting))
	}
	for _, p := range i.view.Peers() {
		i.metrics.Gauge("config_version_of_"+p.Member.Name, int64(p.Heartbeat.ConfigVersion))
	}
}

func serviceSample(sample routing.RunnerSample) policy.ServiceSample {
	slotTime := sample.Window * time.Duration(max(sample.Runner.Slots, 1))
	return policy.ServiceSample{
		Service: sample.Runner.Service, Worker: sample.Runner.Worker, Requests: sample.Requests,
		Load:   min(float64(sample.ServiceTime)/float64(max(slotTime, 1)), 1),
		Queue:  sample.WaitingPerSlot,
		MeanMS: float64(sample.ServiceTime.Microseconds()) / 1000 / float64(sample.Requests),
	}
}

func policyWeights(d *declaration.Deployment) policy.Weights {
	return policy.Weights{
		TailLatency:     d.Objective.TailLatency,
		BatchThroughput: d.Objective.BatchThroughput,
		Evictions:       d.Objective.Evictions,
	}
}

// teamShares returns the part of each team's quota that a shard of a domain may use:
// the domain's fraction of the declared processors, divided by its number of shards.
// A share is never below the size of the team's largest job, which could otherwise
// never start. The shards together can therefore exceed a small quota by the size of
// that job for each shard.
func teamShares(d *declaration.Deployment, domain string, shards int) map[string]quota.Team {
	totalCPU, domainCPU := declaredCPU(d, ""), declaredCPU(d, domain)
	fraction := 1.0
	if totalCPU > 0 {
		fraction = float64(domainCPU) / float64(totalCPU) / float64(max(shards, 1))
	}
	teams := map[string]quota.Team{}
	for _, t := range d.Teams {
		largest := largestJob(d, t.Name)
		teams[t.Name] = quota.Team{Weight: t.Weight, Limit: structs.Resources{
			CPUMilli:     max(int64(float64(t.Quota.CPUMilli)*fraction), largest.CPUMilli),
			MemoryMB:     max(int64(float64(t.Quota.MemoryMB)*fraction), largest.MemoryMB),
			Accelerators: max(int64(float64(t.Quota.Accelerators)*fraction), largest.Accelerators),
		}}
	}
	return teams
}

// declaredCPU returns the declared capacity of all workers of a domain in thousandths of
// a processor. The domain "" means all domains.
func declaredCPU(d *declaration.Deployment, domain string) int64 {
	shapes := map[string]int64{}
	for _, s := range d.WorkerShapes {
		shapes[s.Name] = s.Capacity.CPUMilli
	}
	var sum int64
	for _, declared := range d.Domains {
		if domain != "" && declared.Name != domain {
			continue
		}
		for _, workers := range declared.Workers {
			sum += int64(workers.Count) * shapes[workers.Shape]
		}
	}
	return sum
}

// largestJob returns, for each resource, the largest amount that any one job of the team
// declares.
func largestJob(d *declaration.Deployment, team string) structs.Resources {
	var largest structs.Resources
	includeJob := func(owner string, size structs.Resources) {
		if owner != team {
			return
		}
		largest.CPUMilli = max(largest.CPUMilli, size.CPUMilli)
		largest.MemoryMB = max(largest.MemoryMB, size.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, size.Accelerators)
	}
	for _, job := range d.BatchJobs {
		includeJob(job.Team, job.Size)
	}
	for _, job := range d.StandingJobs {
		includeJob(job.Team, job.Size)
	}
	return largest
}
