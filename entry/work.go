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

// work gives the caller API the life cycle of work items of all shards.
type work struct {
	instance *Instance
}

// Submit checks the work against the declared job and records it.
func (w *work) Submit(ctx context.Context, submit callerapi.Submit) (structs.WorkStatus, error) {
	c, err := w.instance.ready()
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

// workSpec takes what a submit leaves out from the declared job, and refuses
// work that can never run.
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
	// A hash over all domains could choose one without a worker that holds it.
	if fitting := d.DomainsFitting(spec.Size); spec.Domain == "" && len(fitting) < len(d.Domains) {
		spec.Domain = structs.HomeDomain(string(spec.ID()), fitting)
	}
	return spec, nil
}

// checkPlaceable refuses work that no declared worker can ever hold.
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

// Status asks the owner of the item, or reads the table if the owner cannot
// be reached.
func (w *work) Status(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error) {
	return w.each(domain, id, func(c *core, shard structs.ShardID) (structs.WorkStatus, error) {
		if status, err, asked := w.askOwner(ctx, shard, id, w.instance.peers.Status); asked {
			return status, err
		}
		return c.lifecycle.Status(ctx, shard, id)
	})
}

// Cancel passes a cancel to the owner of the item, or records it in the table
// if the owner cannot be reached.
func (w *work) Cancel(ctx context.Context, domain string, id structs.WorkID) (structs.WorkStatus, error) {
	return w.each(domain, id, func(c *core, shard structs.ShardID) (structs.WorkStatus, error) {
		if _, held := c.ownership.Held(shard); held {
			return c.lifecycle.Cancel(ctx, shard, id)
		}
		if status, err, asked := w.askOwner(ctx, shard, id, w.instance.peers.Cancel); asked {
			return status, err
		}
		return c.lifecycle.CancelByRow(ctx, shard, id)
	})
}

// each tries the shard that the ID hashes to and, unless the caller names a
// domain, the shards in other domains: a submit may have named one of those.
func (w *work) each(domain string, id structs.WorkID, call func(*core, structs.ShardID) (structs.WorkStatus, error)) (structs.WorkStatus, error) {
	c, err := w.instance.ready()
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
	for _, d := range domains {
		status, err = call(c, structs.ShardOf(d, string(id), c.shards))
		if err == nil || structs.AsRefusal(err).Reason != structs.ReasonNotFound {
			return status, err
		}
	}
	return status, err
}

type workCall func(ctx context.Context, address string, m *peer.WorkRequest) (*peer.WorkResponse, error)

// askOwner calls another instance that owns the shard. It reports false if
// there is none, or if it did not act on the call.
func (w *work) askOwner(ctx context.Context, shard structs.ShardID, id structs.WorkID, call workCall) (structs.WorkStatus, error, bool) {
	owner, ok := w.instance.owner(shard)
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
