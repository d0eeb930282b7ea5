package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"bergamotstile/callerapi"
	"bergamotstile/history"
	"bergamotstile/structs"
)

const (
	// renderCount is the number of short renders that run under load.
	renderCount = 40
	// Run times of renders in milliseconds. The payload sets them, because renders
	// would run for minutes with the declared run times.
	renderRunMS        = 1500
	evictedRenderRunMS = 6000
	// evictionDelay is the time from the start of the evicted render to its
	// eviction, so that it does some work first.
	evictionDelay = 1500 * time.Millisecond
	// settleTime is how long the load goes on after an instance has drained and
	// its shard has a new owner.
	settleTime = 2 * time.Second
)

// run is the state of one run of the demo.
type run struct {
	cluster         *cluster
	plan            plan
	declarationFile []byte
	seed            int64
	out             io.Writer
	startedAt       time.Time

	balancer *balancer
	load     *loadGenerator
	renders  []structs.WorkID
	// refusedTooLarge is set when the render that fits no worker was refused.
	refusedTooLarge  bool
	evictedRender    structs.WorkID
	standingReplicas []structs.WorkID
}

// execute runs all steps of the demo.
func (r *run) execute(ctx context.Context) error {
	r.balancer = newBalancer(r.cluster.instances)
	r.load = &loadGenerator{plan: r.plan, balancer: r.balancer, seed: r.seed, billedTokens: map[string]bool{}}
	if err := r.deploy(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	pollCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go r.balancer.pollUntilDone(pollCtx)
	loadDone := make(chan struct{})
	go func() { defer close(loadDone); r.load.runCallers(loadCtx) }()
	err := r.executeUnderLoad(ctx)
	stopLoad()
	<-loadDone
	if err != nil {
		return err
	}
	return r.finish(ctx)
}

// deploy applies the declaration and waits until all instances are ready and all
// shards have an owner.
func (r *run) deploy(ctx context.Context) error {
	d := r.cluster.deployment
	r.printProgress("%s: %d domains, %d workers, %d runners, %d entry instances", d.Name, len(d.Domains),
		len(r.cluster.workers), len(r.cluster.runners), len(r.cluster.instances))
	var version uint64
	err := waitUntil(ctx, "the declaration is applied", func() bool {
		var err error
		version, err = applyDeclaration(ctx, r.cluster.instances[0], r.declarationFile)
		return err == nil
	})
	if err != nil {
		return err
	}
	err = waitUntil(ctx, "every instance is ready and every domain has an owner", func() bool {
		return r.balancer.poll(ctx) == len(r.cluster.instances) && len(r.ownersByShard(ctx)) == len(d.Domains)*max(d.ShardsPerDomain, 1)
	})
	if err == nil {
		r.printProgress("version %d is in force on all instances", version)
	}
	return err
}

// ownersByShard returns the owner of each shard that has one, by the name of the
// shard, from the statuses of the instances.
func (r *run) ownersByShard(ctx context.Context) map[string]*entryInstance {
	owners := map[string]*entryInstance{}
	for _, e := range r.cluster.instances {
		status, err := fetchStatus(ctx, e)
		if err != nil {
			continue
		}
		for _, shard := range status.Shards {
			owners[shard.Shard] = e
		}
	}
	return owners
}

// executeUnderLoad runs the steps that take place while the load generator sends
// requests.
func (r *run) executeUnderLoad(ctx context.Context) error {
	if err := r.submitRenders(ctx); err != nil {
		return err
	}
	if err := r.evictRender(ctx); err != nil {
		return err
	}
	if err := r.waitForStandingReplicas(ctx); err != nil {
		return err
	}
	if err := r.drainOwner(ctx); err != nil {
		return err
	}
	return r.waitForRenders(ctx)
}

// submitRenders submits the short renders, and then the one that is too large.
func (r *run) submitRenders(ctx context.Context) error {
	for n := range renderCount {
		id, err := r.submitRender(ctx, fmt.Sprintf("demo-render-%d", n), "", renderRunMS)
		if err != nil {
			return err
		}
		r.renders = append(r.renders, id)
	}
	r.printProgress("%d renders are accepted", renderCount)
	return r.submitTooLarge(ctx)
}

// submitRender submits a render and repeats the submit with the same key until it
// is accepted. If domain is empty, the instance chooses the failure domain.
func (r *run) submitRender(ctx context.Context, key, domain string, runMS int) (structs.WorkID, error) {
	item := callerapi.Submit{Team: r.plan.renderJob.Team, Job: r.plan.renderJob.Kind, Key: key, Domain: domain,
		Payload: fmt.Appendf(nil, `{"run_ms":%d}`, runMS)}
	var id structs.WorkID
	err := waitUntil(ctx, key+" is accepted", func() bool {
		status, err := submitWork(ctx, r.balancer.pickInstance(), item)
		id = status.ID
		return err == nil
	})
	return id, err
}

// submitTooLarge submits a render of the size of the team's quota, which fits no
// worker, and checks that it is refused for that reason.
func (r *run) submitTooLarge(ctx context.Context) error {
	item := callerapi.Submit{Team: r.plan.renderJob.Team, Job: r.plan.renderJob.Kind, Key: "demo-too-large"}
	team, _ := r.cluster.deployment.Team(r.plan.renderJob.Team)
	item.Size = team.Quota
	_, err := submitWork(ctx, r.balancer.pickInstance(), item)
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != structs.ReasonNeverFits {
		return fmt.Errorf("a render larger than every worker was not refused with never_fits: %v", err)
	}
	r.refusedTooLarge = true
	return nil
}

// evictRender evicts a running render, which then resumes from its checkpoint. It
// asks the owner of the shard for the eviction, because the policy evicts only
// idempotent work: the renders of examples.Society are not idempotent and would be lost
// if a checkpoint failed.
func (r *run) evictRender(ctx context.Context) error {
	domains := r.cluster.deployment.DomainsFitting(r.plan.renderJob.Size)
	domain := domains[len(domains)-1]
	id, err := r.submitRender(ctx, "demo-evicted", domain, evictedRenderRunMS)
	if err != nil {
		return err
	}
	r.evictedRender = id
	r.renders = append(r.renders, id)
	if err := r.waitForState(ctx, id, structs.StateRunning); err != nil {
		return err
	}
	sleep(ctx, evictionDelay)
	shard := structs.ShardOf(domain, string(id), max(r.cluster.deployment.ShardsPerDomain, 1))
	owner := r.ownersByShard(ctx)[shard.String()]
	if owner == nil {
		return fmt.Errorf("shard %s has no owner", shard)
	}
	if err := owner.Evict(shard, id, "demo"); err != nil {
		return err
	}
	err = waitUntil(ctx, "the evicted render runs again", func() bool {
		status, err := fetchWorkStatus(ctx, r.balancer.pickInstance(), id)
		return err == nil && status.Evictions > 0 && status.State == structs.StateRunning
	})
	if err == nil {
		r.printProgress("one render was evicted in %s and runs again", domain)
	}
	return err
}

// waitForState waits until a work item has the given state.
func (r *run) waitForState(ctx context.Context, id structs.WorkID, state structs.WorkState) error {
	return waitUntil(ctx, fmt.Sprintf("%s is %s", id, state), func() bool {
		status, err := fetchWorkStatus(ctx, r.balancer.pickInstance(), id)
		return err == nil && status.State == state
	})
}

// waitForStandingReplicas waits until all replicas of the standing job run.
func (r *run) waitForStandingReplicas(ctx context.Context) error {
	job := r.plan.standingJob
	for n := range job.Replicas {
		id := structs.NewWorkID(job.Team, fmt.Sprintf("standing/%s/%d", job.Kind, n))
		if err := r.waitForState(ctx, id, structs.StateRunning); err != nil {
			return err
		}
		r.standingReplicas = append(r.standingReplicas, id)
	}
	r.printProgress("%d replicas of %s run", job.Replicas, job.Kind)
	return nil
}

// drainOwner drains the owner of a shard under load and waits until the shard has
// a new owner.
func (r *run) drainOwner(ctx context.Context) error {
	owners := r.ownersByShard(ctx)
	// The shard is in the first domain, because the evicted render is in the last
	// domain that fits it and the owner of its shard is to stay.
	shard := structs.ShardID{Domain: r.cluster.deployment.DomainNames()[0]}.String()
	e := owners[shard]
	if e == nil {
		return fmt.Errorf("shard %s has no owner", shard)
	}
	if err := r.cluster.drain(e); err != nil {
		return err
	}
	r.printProgress("%s has drained under load", e.settings.Name)
	err := waitUntil(ctx, "the shard of the drained instance has a new owner", func() bool {
		owner := r.ownersByShard(ctx)[shard]
		return owner != nil && owner != e
	})
	sleep(ctx, settleTime)
	return err
}

// waitForRenders waits until all accepted renders have finished.
func (r *run) waitForRenders(ctx context.Context) error {
	for _, id := range r.renders {
		if err := r.waitForState(ctx, id, structs.StateFinished); err != nil {
			return err
		}
	}
	return nil
}

// finish collects the statuses of the standing replicas and the evidence, drains
// all instances, prints the table and checks the run.
func (r *run) finish(ctx context.Context) error {
	statuses := map[structs.WorkID]structs.WorkStatus{}
	for _, id := range r.standingReplicas {
		statuses[id], _ = fetchWorkStatus(ctx, r.balancer.pickInstance(), id)
	}
	evidence := r.cluster.evidence()
	if err := r.cluster.drain(r.cluster.instances...); err != nil {
		return err
	}
	r.printTable(evidence)
	return r.reportViolations(r.checkInvariants(evidence, statuses))
}

// printProgress prints a line with the time since the start of the run.
func (r *run) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%5.1fs  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// reportViolations prints the result of the checks. It returns an error if there
// are violations.
func (r *run) reportViolations(violations []history.Violation) error {
	if len(violations) == 0 {
		r.printProgress("all checks hold")
		return nil
	}
	for _, brokenCall := range r.load.brokenCalls {
		r.printProgress("neither answered nor refused: %s", brokenCall)
	}
	for _, v := range violations {
		r.printProgress("check failed: %s", v)
	}
	return fmt.Errorf("%d checks failed", len(violations))
}
