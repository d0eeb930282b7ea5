package routing

import (
	"context"
	"errors"
	"slices"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"bergamotstile/peer"
	"bergamotstile/retry"
	"bergamotstile/structs"
)

// foreignEntries bounds the entry instances of another domain that are tried.
const foreignEntries = 2

// Handle answers a request from a caller. Its error is a *structs.Refusal.
func (r *Router) Handle(ctx context.Context, req structs.Request) (structs.Answer, error) {
	return r.handle(ctx, req, 0)
}

// Forwarded answers a request that a peer passed on. Its error is a
// *structs.Refusal.
func (r *Router) Forwarded(ctx context.Context, req structs.Request, hops int) (structs.Answer, error) {
	return r.handle(ctx, req, max(hops, 1))
}

func (r *Router) handle(ctx context.Context, req structs.Request, hops int) (structs.Answer, error) {
	c, refusal := r.accept(req, hops)
	if refusal != nil {
		return structs.Answer{}, refusal
	}
	res := r.route(ctx, c)
	if res.refusal != nil {
		return structs.Answer{}, res.refusal
	}
	return res.answer, nil
}

// accept checks a request and fixes its deadline and its home domain.
func (r *Router) accept(req structs.Request, hops int) (call, *structs.Refusal) {
	now := r.Clock.Now()
	limit := r.Settings.RequestTimeoutMax
	switch {
	case req.Timeout < 0 || req.Timeout > limit:
		return call{}, structs.NotRun(structs.ReasonBadRequest, "the timeout must be between 1 and %d ms", limit.Milliseconds())
	case req.Timeout == 0 && hops > 0:
		return call{}, structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed on the way")
	case req.Timeout == 0:
		req.Timeout = limit
	}
	if !req.Idempotent && req.Key == "" {
		return call{}, structs.NotRun(structs.ReasonKeyRequired, "a request that is not idempotent needs the header %s", structs.HeaderIdempotencyKey)
	}
	domains := r.Topology.Domains()
	if len(domains) == 0 {
		return call{}, structs.NotRun(structs.ReasonNotReady, "no failure domain is declared")
	}
	if req.Domain != "" && !slices.Contains(domains, req.Domain) {
		return call{}, structs.NotRun(structs.ReasonUnknownDomain, "failure domain %q is not declared", req.Domain)
	}
	if req.Key != "" && req.Domain == "" {
		req.Domain = structs.HomeDomain(req.Key, domains)
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	return call{req: req, arrived: now, deadline: now.Add(req.Timeout), hops: hops}, nil
}

func (r *Router) route(ctx context.Context, c call) result {
	if c.req.Key != "" {
		return r.routeKeyed(ctx, c)
	}
	if c.req.Domain != "" && c.req.Domain != r.Domain {
		return r.forwardToDomain(ctx, c, c.req.Domain)
	}
	return r.routeUnkeyed(ctx, c)
}

// serves reports whether this instance is the shard's owner now.
func (r *Router) serves(shard structs.ShardID) bool {
	return r.Clock.Now().Before(r.Ownership.ServingUntil(shard))
}

// routeKeyed takes a call to the owner of its key. If the instance that was
// thought to be the owner is not, the call is passed on once more.
func (r *Router) routeKeyed(ctx context.Context, c call) result {
	shard := structs.ShardOf(c.req.Domain, c.req.Key, r.Topology.Shards())
	var last result
	asked := map[string]bool{}
	for {
		if r.serves(shard) {
			return r.serveKeyed(ctx, c, shard)
		}
		to, ok := r.nextOwner(shard, c, asked)
		if !ok || len(asked) > foreignEntries {
			return r.noOwner(shard, last)
		}
		asked[to.Name] = true
		if last.refusal != nil && last.refusal.Reason == structs.ReasonNotOwner && !r.budgets.Allow(retry.CauseNotOwner) {
			return last
		}
		res, sent := r.forward(ctx, c, to)
		if sent && (res.refusal == nil || !isNotOwner(res.refusal)) {
			return res
		}
		last = res
	}
}

func isNotOwner(refusal *structs.Refusal) bool {
	return refusal.Reason == structs.ReasonNotOwner && refusal.Outcome == structs.OutcomeNotRun
}

// nextOwner returns the last known owner of a shard, or else an entry instance
// of another domain, which knows its own domain's owners.
func (r *Router) nextOwner(shard structs.ShardID, c call, asked map[string]bool) (structs.Member, bool) {
	if c.hops >= r.Settings.MaxHops {
		return structs.Member{}, false
	}
	owner, ok := r.Ownership.Owner(shard)
	if ok && owner.Name != r.Instance && !asked[owner.Name] {
		return owner, true
	}
	if shard.Domain == r.Domain {
		return structs.Member{}, false
	}
	for _, m := range r.entries(shard.Domain, c.req.ID) {
		if !asked[m.Name] {
			return m, true
		}
	}
	return structs.Member{}, false
}

// entries returns the reachable entry instances of a domain in an order that
// differs between requests.
func (r *Router) entries(domain, spread string) []structs.Member {
	byName := map[string]structs.Member{}
	var names []string
	for _, m := range r.Members.Entries(domain) {
		if m.Name != r.Instance && r.Members.Reachable(m.Name) {
			byName[m.Name] = m
			names = append(names, m.Name)
		}
	}
	var out []structs.Member
	for _, name := range structs.RankByHash(spread, names) {
		out = append(out, byName[name])
	}
	return out
}

// noOwner refuses a keyed call that reached no owner. Nothing was sent, or
// whoever received it refused.
func (r *Router) noOwner(shard structs.ShardID, last result) result {
	if last.refusal != nil && isNotOwner(last.refusal) {
		return last
	}
	reason := structs.ReasonOwnerUnreachable
	if shard.Domain != r.Domain {
		reason = structs.ReasonDomainUnreachable
	} else if owner, ok := r.Ownership.Owner(shard); ok && owner.Name == r.Instance {
		reason = structs.ReasonOwnershipUnproven
	}
	return refused(structs.NotRun(reason, "no owner of shard %s can be reached", shard).WithRetryAfter(r.Settings.Lease))
}

// routeUnkeyed serves a call in this domain, or in another one if this has no
// live runner and the caller named no domain.
func (r *Router) routeUnkeyed(ctx context.Context, c call) result {
	res := r.serveUnkeyed(ctx, c)
	if c.req.Domain != "" || res.refusal == nil || !isNoRunner(res.refusal) {
		return res
	}
	others := slices.DeleteFunc(slices.Clone(r.Topology.Domains()), func(d string) bool { return d == r.Domain })
	for _, domain := range structs.RankByHash(c.req.ID, others) {
		elsewhere := r.forwardToDomain(ctx, c, domain)
		if elsewhere.refusal == nil || !isElsewhereFree(elsewhere.refusal) {
			return elsewhere
		}
	}
	return res
}

func isNoRunner(refusal *structs.Refusal) bool {
	return refusal.Reason == structs.ReasonNoRunner && refusal.Outcome == structs.OutcomeNotRun
}

func isElsewhereFree(refusal *structs.Refusal) bool {
	return isNoRunner(refusal) || refusal.Reason == structs.ReasonDomainUnreachable && refusal.Outcome == structs.OutcomeNotRun
}

// serveUnkeyed serves a call with a shard that this instance owns, or else
// with one whose owner can be reached, or else on reserved connections.
func (r *Router) serveUnkeyed(ctx context.Context, c call) result {
	shards := r.shardsWithRunners(c)
	if len(shards) == 0 {
		return refused(r.noRunner(c.req.Service, r.Domain))
	}
	for _, shard := range shards {
		if r.serves(shard) {
			return r.attemptUnkeyed(ctx, c, r.lane(shard, c.req.Service))
		}
	}
	for _, shard := range shards {
		if res, sent := r.forwardToOwner(ctx, c, shard); sent && (res.refusal == nil || !isNotOwner(res.refusal)) {
			return res
		}
	}
	return r.attemptReserved(ctx, c, shards)
}

// shardsWithRunners returns this domain's shards that have live runners of the
// call's service, in an order that differs between calls.
func (r *Router) shardsWithRunners(c call) []structs.ShardID {
	shards := r.Topology.Shards()
	first := structs.ShardOf(r.Domain, c.req.ID, shards).Index
	var out []structs.ShardID
	for i := range max(shards, 1) {
		shard := structs.ShardID{Domain: r.Domain, Index: (first + i) % max(shards, 1)}
		if r.lane(shard, c.req.Service).live() {
			out = append(out, shard)
		}
	}
	return out
}

func (r *Router) forwardToOwner(ctx context.Context, c call, shard structs.ShardID) (result, bool) {
	owner, ok := r.Ownership.Owner(shard)
	if !ok || owner.Name == r.Instance || c.hops >= r.Settings.MaxHops {
		return result{}, false
	}
	c.req.Domain = r.Domain
	return r.forward(ctx, c, owner)
}

// attemptReserved dispatches an un-keyed call without owning a shard. It may
// use only the connections that owners leave free.
func (r *Router) attemptReserved(ctx context.Context, c call, shards []structs.ShardID) result {
	r.Metrics.Count("requests_reserved", 1)
	for _, shard := range shards {
		if l := r.reservedLane(shard, c.req.Service); l.live() {
			return r.attemptUnkeyed(ctx, c, l)
		}
	}
	return refused(r.noRunner(c.req.Service, r.Domain))
}

// attemptUnkeyed dispatches a call that can have no duplicate, so no lease has
// to outlast it.
func (r *Router) attemptUnkeyed(ctx context.Context, c call, l *lane) result {
	return r.withinDeadline(ctx, c, func(ctx context.Context) result {
		return r.attempt(ctx, c, l, func() *structs.Refusal { return nil })
	})
}

// forwardToDomain passes an un-keyed call to an entry instance of a domain.
func (r *Router) forwardToDomain(ctx context.Context, c call, domain string) result {
	c.req.Domain = domain
	for i, m := range r.entries(domain, c.req.ID) {
		if i >= foreignEntries || c.hops >= r.Settings.MaxHops {
			break
		}
		if res, sent := r.forward(ctx, c, m); sent {
			return res
		}
	}
	return refused(structs.NotRun(structs.ReasonDomainUnreachable, "no entry instance of %s can be reached", domain).WithRetryAfter(r.Settings.Lease))
}

// forward passes a call to a peer. It reports false if the call was not sent,
// and so did not run.
func (r *Router) forward(ctx context.Context, c call, to structs.Member) (result, bool) {
	left := c.deadline.Sub(r.Clock.Now())
	if left <= 0 {
		return refused(structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed before the request was forwarded")), true
	}
	if !r.forwards.enter(to.Name) {
		return refused(structs.NotRun(structs.ReasonQueueFull, "%d requests are being forwarded to %s", r.Settings.MaxForwards, to.Name).WithRetryAfter(r.Settings.Settle)), true
	}
	defer r.forwards.leave(to.Name)
	c.req.Timeout = left
	// The peer itself waits a grace for the outcome, which then travels back.
	fctx, cancel := clockwork.WithDeadline(ctx, r.Clock, c.deadline.Add(2*r.Settings.WaitGrace))
	defer cancel()
	res, err := r.Peers.Forward(fctx, to.Address, &peer.ForwardRequest{Request: c.req, From: r.Instance, Hops: c.hops + 1})
	switch {
	case errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, peer.ErrOutcomeUnknown):
		return result{}, false
	case err != nil:
		return refused(r.forwardLost(c, to, err.Error())), true
	case res.Refusal != nil && res.Answer == nil:
		return refused(res.Refusal), true
	case res.Answer != nil && res.Refusal == nil && res.Answer.RequestID == c.req.ID:
		return result{answer: *res.Answer}, true
	}
	return refused(structs.MayHaveRun(structs.ReasonAnswerIncomplete, "%s gave no answer to this request", to.Name)), true
}

// forwardLost refuses a call whose forward may have arrived. Under a key the
// caller may send it again: the owner joins it to the first.
func (r *Router) forwardLost(c call, to structs.Member, detail string) *structs.Refusal {
	refusal := structs.MayHaveRun(structs.ReasonOwnerUnreachable, "the answer of %s was lost: %s", to.Name, detail)
	if c.req.Key != "" {
		return refusal.WithRetryAfter(r.Settings.Settle)
	}
	return refusal
}
