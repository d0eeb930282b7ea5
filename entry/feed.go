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

// teamShares returns the weight of each team, and as its limit the part of its quota that
// a shard of a domain may use.
func teamShares(d *declaration.Deployment, domain string, shards int) map[string]quota.Team {
	shares := d.QuotaShares(domain, shards)
	teams := map[string]quota.Team{}
	for _, t := range d.Teams {
		teams[t.Name] = quota.Team{Weight: t.Weight, Limit: shares[t.Name]}
	}
	return teams
}
