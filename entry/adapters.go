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

// callerHandler is the handler of the API for callers and operators.
type callerHandler = http.Handler

// shardOwners implements routing.Ownership. Owner takes the owner of a shard in the
// instance's own domain from the shard row that the ownership manager last read. For any
// other shard, or if that row names no owner, Owner relies on the claims in heartbeats.
type shardOwners struct {
	manager *ownership.Manager
	view    *membership.View
	domain  string
}

func (o *shardOwners) HeldLease(shard structs.ShardID) (routing.Lease, bool) {
	lease, ok := o.manager.HeldLease(shard)
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

func (o *shardOwners) NotifyFenced(shard structs.ShardID, epoch uint64) {
	o.manager.NotifyFenced(shard, epoch)
}

// topology implements routing.Topology: it returns the declared failure domains and shards.
type topology struct {
	instance *Instance
	shards   int
}

func (t *topology) Domains() []string { return t.instance.domains() }
func (t *topology) Shards() int       { return t.shards }

// catalog implements callerapi.Catalog from the current configuration.
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
	k, ok := s.RequestKind(kind)
	return callerapi.RequestKind{
		Class: k.Class.Class(), Idempotent: k.Idempotent,
		Timeout: time.Duration(k.TimeoutMS) * time.Millisecond,
	}, ok
}

// requestService passes the requests of callers to the router.
type requestService struct {
	instance *Instance
}

func (r *requestService) Handle(ctx context.Context, req structs.Request) (structs.Answer, error) {
	c, err := r.instance.requireShardComponents()
	if err != nil {
		return structs.Answer{}, err
	}
	return c.router.Handle(ctx, req)
}

// declarationService checks declaration files and applies them.
type declarationService struct {
	instance *Instance
}

func (d *declarationService) Apply(ctx context.Context, operator string, base uint64, file []byte) (uint64, error) {
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

// hintSender sends a hint about a new work row to the owner of its shard.
type hintSender struct {
	instance *Instance
}

func (h *hintSender) Hint(ctx context.Context, shard structs.ShardID, id structs.WorkID) {
	owner, ok := h.instance.remoteOwner(shard)
	if !ok {
		return
	}
	_, err := h.instance.peers.Hint(ctx, owner.Address, &peer.HintRequest{Shard: shard, ID: id})
	if err != nil {
		h.instance.metrics.Count("hints_lost", 1)
	}
}

// remoteOwner returns the last known owner of a shard. It returns false if the owner
// is unknown or is this instance.
func (i *Instance) remoteOwner(shard structs.ShardID) (structs.Member, bool) {
	c := i.shardComponents.Load()
	if c == nil {
		return structs.Member{}, false
	}
	owners := shardOwners{manager: c.ownership, view: i.view, domain: i.settings.Domain}
	m, ok := owners.Owner(shard)
	return m, ok && m.Name != i.settings.Name
}

// outcomeReporter implements lifecycle.FailureTracker. It reports the outcomes of attempts
// to the policy.
type outcomeReporter struct {
	policy *policy.Policy
	clock  clockwork.Clock
}

// IsQuarantined always reports false: the policy itself tracks the workers on which
// attempts fail, and places nothing on them.
func (o *outcomeReporter) IsQuarantined(string) bool { return false }

func (o *outcomeReporter) RecordOutcome(worker, job string, id structs.WorkID, failed bool) {
	o.policy.Observe(policy.Observation{
		Now:      o.clock.Now(),
		Outcomes: []policy.Outcome{{Work: id, Job: job, Worker: worker, Succeeded: !failed}},
	})
}
