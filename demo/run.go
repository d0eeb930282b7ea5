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
	// renders is how many short renders run under load.
	renders = 40
	// Run times by payload replace the declared ones, which last minutes.
	renderMS  = 1500
	evictedMS = 6000
	// evictAfter lets the render that is evicted do some work first.
	evictAfter = 1500 * time.Millisecond
	// settleTime is how long the load goes on after the drain of one instance.
	settleTime = 2 * time.Second
)

// run is one run of the demo.
type run struct {
	cluster *cluster
	plan    plan
	file    []byte
	seed    int64
	out     io.Writer
	started time.Time

	balancer *balancer
	load     *load
	renders  []structs.WorkID
	// refusedTooLarge tells that the render that fits no worker was refused.
	refusedTooLarge bool
	evicted         structs.WorkID
	standing        []structs.WorkID
}

func (r *run) all(ctx context.Context) error {
	r.balancer = newBalancer(r.cluster.entries)
	r.load = &load{plan: r.plan, balancer: r.balancer, seed: r.seed, billed: map[string]bool{}}
	if err := r.begin(ctx); err != nil {
		return err
	}
	loading, stopLoad := context.WithCancel(ctx)
	looking, stopLooking := context.WithCancel(ctx)
	defer stopLooking()
	go r.balancer.serve(looking)
	loadDone := make(chan struct{})
	go func() { defer close(loadDone); r.load.serve(loading) }()
	err := r.underLoad(ctx)
	stopLoad()
	<-loadDone
	if err != nil {
		return err
	}
	return r.end(ctx)
}

// begin applies the declaration and waits until it is in force everywhere.
func (r *run) begin(ctx context.Context) error {
	d := r.cluster.declared
	r.say("%s: %d domains, %d workers, %d runners, %d entry instances", d.Name, len(d.Domains),
		len(r.cluster.workers), len(r.cluster.runners), len(r.cluster.entries))
	var version uint64
	err := wait(ctx, "the declaration is applied", func() bool {
		var err error
		version, err = apply(ctx, r.cluster.entries[0], r.file)
		return err == nil
	})
	if err != nil {
		return err
	}
	err = wait(ctx, "every instance is ready and every domain has an owner", func() bool {
		return r.balancer.look(ctx) == len(r.cluster.entries) && len(r.owners(ctx)) == len(d.Domains)*max(d.ShardsPerDomain, 1)
	})
	if err == nil {
		r.say("version %d is in force on all instances", version)
	}
	return err
}

// owners maps each owned shard to its owner.
func (r *run) owners(ctx context.Context) map[string]*instance {
	owners := map[string]*instance{}
	for _, e := range r.cluster.entries {
		s, err := status(ctx, e)
		if err != nil {
			continue
		}
		for _, shard := range s.Shards {
			owners[shard.Shard] = e
		}
	}
	return owners
}

// underLoad does everything that happens while callers send proofs.
func (r *run) underLoad(ctx context.Context) error {
	if err := r.submitRenders(ctx); err != nil {
		return err
	}
	if err := r.evictOne(ctx); err != nil {
		return err
	}
	if err := r.waitStanding(ctx); err != nil {
		return err
	}
	if err := r.drainOne(ctx); err != nil {
		return err
	}
	return r.waitRenders(ctx)
}

func (r *run) submitRenders(ctx context.Context) error {
	for n := range renders {
		id, err := r.submitRender(ctx, fmt.Sprintf("demo-render-%d", n), "", renderMS)
		if err != nil {
			return err
		}
		r.renders = append(r.renders, id)
	}
	r.say("%d renders are accepted", renders)
	return r.refuseTooLarge(ctx)
}

// submitRender repeats a submit under its key until it is accepted. An empty
// domain leaves the choice to the deployment.
func (r *run) submitRender(ctx context.Context, key, domain string, runMS int) (structs.WorkID, error) {
	s := callerapi.Submit{Team: r.plan.render.Team, Job: r.plan.render.Kind, Key: key, Domain: domain,
		Payload: fmt.Appendf(nil, `{"run_ms":%d}`, runMS)}
	var id structs.WorkID
	err := wait(ctx, key+" is accepted", func() bool {
		w, err := submit(ctx, r.balancer.pick(), s)
		id = w.ID
		return err == nil
	})
	return id, err
}

// refuseTooLarge shows a refusal: no worker can ever hold this render.
func (r *run) refuseTooLarge(ctx context.Context) error {
	s := callerapi.Submit{Team: r.plan.render.Team, Job: r.plan.render.Kind, Key: "demo-too-large"}
	team, _ := r.cluster.declared.Team(r.plan.render.Team)
	s.Size = team.Quota
	_, err := submit(ctx, r.balancer.pick(), s)
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != structs.ReasonNeverFits {
		return fmt.Errorf("a render larger than every worker was not refused with never_fits: %v", err)
	}
	r.refusedTooLarge = true
	return nil
}

// evictOne evicts a running render, which then resumes from its checkpoint.
// The policy would not do it: the Society's renders are not idempotent, and
// would be lost if a checkpoint failed.
func (r *run) evictOne(ctx context.Context) error {
	domains := r.cluster.declared.DomainsFitting(r.plan.render.Size)
	domain := domains[len(domains)-1]
	id, err := r.submitRender(ctx, "demo-evicted", domain, evictedMS)
	if err != nil {
		return err
	}
	r.evicted = id
	r.renders = append(r.renders, id)
	if err := r.waitState(ctx, id, structs.StateRunning); err != nil {
		return err
	}
	sleep(ctx, evictAfter)
	shard := structs.ShardOf(domain, string(id), max(r.cluster.declared.ShardsPerDomain, 1))
	owner := r.owners(ctx)[shard.String()]
	if owner == nil {
		return fmt.Errorf("shard %s has no owner", shard)
	}
	if err := owner.Evict(shard, id, "demo"); err != nil {
		return err
	}
	err = wait(ctx, "the evicted render runs again", func() bool {
		w, err := account(ctx, r.balancer.pick(), id)
		return err == nil && w.Evictions > 0 && w.State == structs.StateRunning
	})
	if err == nil {
		r.say("one render was evicted in %s and runs again", domain)
	}
	return err
}

func (r *run) waitState(ctx context.Context, id structs.WorkID, state structs.WorkState) error {
	return wait(ctx, fmt.Sprintf("%s is %s", id, state), func() bool {
		w, err := account(ctx, r.balancer.pick(), id)
		return err == nil && w.State == state
	})
}

func (r *run) waitStanding(ctx context.Context) error {
	job := r.plan.standing
	for n := range job.Replicas {
		id := structs.NewWorkID(job.Team, fmt.Sprintf("standing/%s/%d", job.Kind, n))
		if err := r.waitState(ctx, id, structs.StateRunning); err != nil {
			return err
		}
		r.standing = append(r.standing, id)
	}
	r.say("%d replicas of %s run", job.Replicas, job.Kind)
	return nil
}

// drainOne drains the owner of a shard while callers send proofs.
func (r *run) drainOne(ctx context.Context) error {
	owners := r.owners(ctx)
	// The first domain is not that of the evicted render, whose owner stays.
	shard := structs.ShardID{Domain: r.cluster.declared.DomainNames()[0]}.String()
	e := owners[shard]
	if e == nil {
		return fmt.Errorf("shard %s has no owner", shard)
	}
	if err := r.cluster.drain(e); err != nil {
		return err
	}
	r.say("%s has drained under load", e.settings.Name)
	err := wait(ctx, "the shard of the drained instance has a new owner", func() bool {
		next := r.owners(ctx)[shard]
		return next != nil && next != e
	})
	sleep(ctx, settleTime)
	return err
}

func (r *run) waitRenders(ctx context.Context) error {
	for _, id := range r.renders {
		if err := r.waitState(ctx, id, structs.StateFinished); err != nil {
			return err
		}
	}
	return nil
}

// end drains every instance, prints the table and checks the run.
func (r *run) end(ctx context.Context) error {
	accounts := map[structs.WorkID]structs.WorkStatus{}
	for _, id := range r.standing {
		accounts[id], _ = account(ctx, r.balancer.pick(), id)
	}
	evidence := r.cluster.evidence()
	if err := r.cluster.drain(r.cluster.entries...); err != nil {
		return err
	}
	r.printTable(evidence)
	return r.verdict(r.check(evidence, accounts))
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%5.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) verdict(violations []history.Violation) error {
	if len(violations) == 0 {
		r.say("all checks hold")
		return nil
	}
	for _, broken := range r.load.broken {
		r.say("no account: %s", broken)
	}
	for _, v := range violations {
		r.say("check failed: %s", v)
	}
	return fmt.Errorf("%d checks failed", len(violations))
}
