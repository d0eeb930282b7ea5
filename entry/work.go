package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/peer"
	"bergamotstile/structs"
)

// workService implements callerapi.Work for the work items of all shards.
type workService struct {
	instance *Instance
}

// Submit checks the work against the declared job and records it.
func (w *workService) Submit(ctx context.Context, submit callerapi.Submit) (structs.WorkStatus, error) {
	c, err := w.instance.requireShardComponents()
	if err != nil {
		return structs.WorkStatus{}, err
	}
	d, _ := w.instance.config.Current()
	spec, err := workSpec(d, submit)
	if err != nil {
		return structs.WorkStatus{}, err
	}
	return c.lifecycle.Submit(ctx, spec)
}

// workSpec returns the specification of the submitted work. It takes what the submit
// leaves out from the declared job, and refuses work that can never run.
func workSpec(d *declaration.Deployment, s callerapi.Submit) (structs.WorkSpec, error) {
	team, ok := d.Team(s.Team)
	if !ok {
		return structs.WorkSpec{}, structs.NotRun(structs.ReasonUnknownTeam, "team %q is not declared", s.Team)
	}
	job, ok := d.BatchJob(s.Job)
	if !ok {
		return structs.WorkSpec{}, structs.NotRun(structs.ReasonUnknownJob, "batch job %q is not declared", s.Job)
	}
	if job.Team != s.Team {
		return structs.WorkSpec{}, structs.NotRun(structs.ReasonUnknownJob, "batch job %q belongs to team %q", job.Kind, job.Team)
	}
	spec := structs.WorkSpec{
		Team: s.Team, Key: s.Key, Job: s.Job, Kind: structs.KindBatch, Class: cmp.Or(s.Class, job.Class).Class(),
		Size: s.Size, Idempotent: job.Idempotent, Domain: s.Domain, Payload: s.Payload,
		ExpectedRunMS: cmp.Or(s.ExpectedRunMS, job.ExpectedRunMS), MaxRunMS: cmp.Or(s.MaxRunMS, job.MaxRunMS),
	}
	if spec.Size == (structs.Resources{}) {
		spec.Size = job.Size
	}
	if !spec.Size.Fits(team.Quota) {
		return spec, structs.NotRun(structs.ReasonOverQuota, "size %+v is above the quota of team %q", spec.Size, team.Name)
	}
	if err := checkPlaceable(d, spec); err != nil {
		return spec, err
	}
	// Without a named domain, a hash over all domains would choose the home domain,
	// which might have no worker that the size fits. If any domain has no such worker,
	// the hash chooses among the fitting domains only.
	if fitting := d.DomainsFitting(spec.Size); spec.Domain == "" && len(fitting) < len(d.Domains) {
		spec.Domain = structs.HomeDomain(string(spec.ID()), fitting)
	}
	return spec, nil
}

// checkPlaceable refuses work whose size fits no declared worker that it may use.
func checkPlaceable(d *declaration.Deployment, spec structs.WorkSpec) error {
	fitting := d.DomainsFitting(spec.Size)
	if len(fitting) == 0 {
		return structs.NotRun(structs.ReasonNeverFits, "no declared worker can hold size %+v", spec.Size)
	}
	if spec.Domain != "" && !slices.Contains(fitting, spec.Domain) {
		return structs.NotRun(structs.ReasonNeverFits, "no worker of failure domain %q can hold size %+v", spec.Domain, spec.Size)
	}
	return nil
}

// Status returns the status of an item as its owner reports it. If another instance owns
// the shard but has not acted on the call, or if no owner is known, the status comes from the
// table.
func (w *workService) Status(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error) {
	return w.tryDomains(domain, id, func(c *shardComponents, shard structs.ShardID) (structs.WorkStatus, error) {
		if status, err, handled := w.callOwner(ctx, shard, id, w.instance.peers.Status); handled {
			return status, err
		}
		return c.lifecycle.Status(ctx, shard, id)
	})
}

// Cancel passes a cancel to the owner of the item. If this instance does not hold the lease
// of the shard and no other owner is known or has acted on the call, Cancel records the
// cancel in the table.
func (w *workService) Cancel(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error) {
	return w.tryDomains(domain, id, func(c *shardComponents, shard structs.ShardID) (structs.WorkStatus, error) {
		if _, held := c.ownership.HeldLease(shard); held {
			return c.lifecycle.Cancel(ctx, shard, id)
		}
		if status, err, handled := w.callOwner(ctx, shard, id, w.instance.peers.Cancel); handled {
			return status, err
		}
		return c.lifecycle.CancelByRow(ctx, shard, id)
	})
}

// tryDomains calls the function for the shard to which the ID hashes in its home
// domain. If the item is not found there, it tries the other domains one after the
// other, since the submit may have named one of them. If the caller names a domain,
// tryDomains tries that domain only.
func (w *workService) tryDomains(domain string, id structs.WorkID, call func(*shardComponents, structs.ShardID) (structs.WorkStatus, error)) (structs.WorkStatus, error) {
	c, err := w.instance.requireShardComponents()
	if err != nil {
		return structs.WorkStatus{}, err
	}
	domains := structs.RankByHash(string(id), w.instance.domains())
	if domain != "" {
		if !slices.Contains(domains, domain) {
			return structs.WorkStatus{}, structs.NotRun(structs.ReasonUnknownDomain, "failure domain %q is not declared", domain)
		}
		domains = []string{domain}
	}
	var status structs.WorkStatus
	for _, candidate := range domains {
		status, err = call(c, structs.ShardOf(candidate, string(id), c.shards))
		if err == nil || structs.AsRefusal(err).Reason != structs.ReasonNotFound {
			return status, err
		}
	}
	return status, err
}

// workCall is a call of peer.Client about one work item.
type workCall func(ctx context.Context, address string, m *peer.WorkRequest) (*peer.WorkResponse, error)

// callOwner calls the instance that owns the shard, if that is another one. It reports false
// if no other instance is known to own the shard, or if the called instance certainly has
// not acted on the call: it could not be reached, or it refused because it is not the owner.
func (w *workService) callOwner(ctx context.Context, shard structs.ShardID, id structs.WorkID, call workCall) (structs.WorkStatus, error, bool) {
	owner, ok := w.instance.remoteOwner(shard)
	if !ok {
		return structs.WorkStatus{}, nil, false
	}
	res, err := call(ctx, owner.Address, &peer.WorkRequest{Shard: shard, ID: id})
	if err != nil {
		if errors.Is(err, peer.ErrUnreachable) {
			return structs.WorkStatus{}, nil, false
		}
		return structs.WorkStatus{}, structs.MayHaveRun(structs.ReasonOwnerUnreachable, "no answer from owner %s: %v", owner.Name, err), true
	}
	if res.Refusal != nil {
		return structs.WorkStatus{}, res.Refusal, res.Refusal.Reason != structs.ReasonNotOwner
	}
	return *res.Status, nil, true
}
