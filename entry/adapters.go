package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/callerapi"
	"bergamotstile/configuration"
	"bergamotstile/declaration"
	"bergamotstile/membership"
	"bergamotstile/ownership"
	"bergamotstile/peer"
	"bergamotstile/policy"
	"bergamotstile/routing"
	"bergamotstile/structs"
)

type callerHandler = http.Handler

// shardOwners tells the router who owns a shard: the table for its own
// domain's, heartbeats for those of other domains.
type shardOwners struct {
	manager *ownership.Manager
	view    *membership.View
	domain  string
}

func (o *shardOwners) Held(shard structs.ShardID) (routing.Lease, bool) {
	lease, ok := o.manager.Held(shard)
	return routing.Lease{Shard: lease.Shard, Epoch: lease.Epoch, Fence: lease.Fence}, ok
}

func (o *shardOwners) ServingUntil(shard structs.ShardID) time.Time {
	return o.manager.ServingUntil(shard)
}

func (o *shardOwners) DispatchAfter(shard structs.ShardID) time.Time {
	return o.manager.DispatchAfter(shard)
}

func (o *shardOwners) Owner(shard structs.ShardID) (structs.Member, bool) {
	if shard.Domain == o.domain {
		if m, ok := o.manager.Owner(shard); ok {
			return m, true
		}
	}
	m, _, ok := o.view.OwnerHint(shard)
	return m, ok
}

func (o *shardOwners) Fenced(shard structs.ShardID, epoch uint64) {
	o.manager.Fenced(shard, epoch)
}

// topology gives the router the declared failure domains.
type topology struct {
	instance *Instance
	shards   int
}

func (t *topology) Domains() []string { return t.instance.domains() }
func (t *topology) Shards() int       { return t.shards }

// catalog gives the caller API the declared services.
type catalog struct {
	config *configuration.Store
}

func (c *catalog) Service(name string) bool {
	d, _ := c.config.Current()
	if d == nil {
		return false
	}
	_, ok := d.Service(name)
	return ok
}

func (c *catalog) Kind(service, kind string) (callerapi.RequestKind, bool) {
	d, _ := c.config.Current()
	if d == nil {
		return callerapi.RequestKind{}, false
	}
	s, ok := d.Service(service)
	if !ok {
		return callerapi.RequestKind{}, false
	}
	k, ok := s.Request(kind)
	return callerapi.RequestKind{
		Class: k.Class.Class(), Idempotent: k.Idempotent,
		Timeout: time.Duration(k.TimeoutMS) * time.Millisecond,
	}, ok
}

// requests passes callers' requests to the router.
type requests struct {
	instance *Instance
}

func (r *requests) Handle(ctx context.Context, req structs.Request) (structs.Answer, error) {
	c, err := r.instance.ready()
	if err != nil {
		return structs.Answer{}, err
	}
	return c.router.Handle(ctx, req)
}

// declarations checks declaration files and applies them.
type declarations struct {
	instance *Instance
}

func (d *declarations) Apply(ctx context.Context, operator string, base uint64, file []byte) (uint64, error) {
	next, err := declaration.Decode(file)
	if err == nil {
		err = next.Check(d.instance.settings.Limits())
	}
	if err != nil {
		return 0, structs.NotRun(structs.ReasonDeclarationInvalid, "%v", err)
	}
	current, _ := d.instance.config.Current()
	if err := checkShardCount(current, next); err != nil {
		return 0, err
	}
	return d.instance.config.Apply(ctx, operator, base, next)
}

// hinter tells the owner of a shard about a new work row.
type hinter struct {
	instance *Instance
}

func (h *hinter) Hint(ctx context.Context, shard structs.ShardID, id structs.WorkID) {
	owner, ok := h.instance.owner(shard)
	if !ok {
		return
	}
	_, err := h.instance.peers.Hint(ctx, owner.Address, &peer.HintRequest{Shard: shard, ID: id})
	if err != nil {
		h.instance.metrics.Count("hints_lost", 1)
	}
}

// owner returns the last known owner of a shard, if it is another instance.
func (i *Instance) owner(shard structs.ShardID) (structs.Member, bool) {
	c := i.core.Load()
	if c == nil {
		return structs.Member{}, false
	}
	owners := shardOwners{manager: c.ownership, view: i.view, domain: i.settings.Domain}
	m, ok := owners.Owner(shard)
	return m, ok && m.Name != i.settings.Name
}

// verdicts passes the ends of attempts to the policy.
type verdicts struct {
	policy *policy.Policy
	clock  clockwork.Clock
}

// Quarantined reports false: the policy keeps its own book of workers that
// fail what they start, and places nothing on them.
func (v *verdicts) Quarantined(string) bool { return false }

func (v *verdicts) Ended(worker, job string, id structs.WorkID, failed bool) {
	v.policy.Observe(policy.Observation{
		Now:      v.clock.Now(),
		Outcomes: []policy.Outcome{{Work: id, Job: job, Worker: worker, Succeeded: !failed}},
	})
}
