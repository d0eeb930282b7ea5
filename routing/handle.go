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

// maxEntriesTried bounds the entry instances of another domain to which this
// instance forwards a request without a key. A request with a key may be
// forwarded to one instance more.
const maxEntriesTried = 2

// Handle answers a request from a caller. Its error is a *structs.Refusal.
func (r *Router) Handle(ctx context.Context, req structs.Request) (structs.Answer, error) {
	return r.handle(ctx, req, 0)
}

// HandleForwarded answers a request that a peer forwarded; hops is the number
// of times it was forwarded. Its error is a *structs.Refusal.
func (r *Router) HandleForwarded(ctx context.Context, req structs.Request, hops int) (structs.Answer, error) {
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

// accept validates a request and sets its deadline, its ID and, for a key
// without a domain, its home domain.
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

// route chooses where the call is handled: by the owner of its key, in the
// domain that it names, or in this domain.
func (r *Router) route(ctx context.Context, c call) result {
	if c.req.Key != "" {
		return r.routeKeyed(ctx, c)
	}
	if c.req.Domain != "" && c.req.Domain != r.Domain {
		return r.forwardToDomain(ctx, c, c.req.Domain)
	}
	return r.routeUnkeyed(ctx, c)
}

// isOwner reports whether this instance owns the shard and may serve it now.
func (r *Router) isOwner(shard structs.ShardID) bool {
	return r.Clock.Now().Before(r.Ownership.ServingUntil(shard))
}

// routeKeyed serves a call here if this instance owns the key's shard, and
// otherwise forwards it to the last known owner. If that instance cannot be
// reached or refuses because it does not own the shard, routeKeyed forwards the
// call to another instance. maxEntriesTried and the retry budget limit this.
func (r *Router) routeKeyed(ctx context.Context, c call) result {
	shard := structs.ShardOf(c.req.Domain, c.req.Key, r.Topology.Shards())
	var lastResult result
	tried := map[string]bool{}
	for {
		if r.isOwner(shard) {
			return r.serveKeyed(ctx, c, shard)
		}
		target, ok := r.nextOwner(shard, c, tried)
		if !ok || len(tried) > maxEntriesTried {
			return r.noOwnerResult(shard, lastResult)
		}
		tried[target.Name] = true
		if lastResult.refusal != nil && lastResult.refusal.Reason == structs.ReasonNotOwner && !r.retryBudgets.Allow(retry.CauseNotOwner) {
			return lastResult
		}
		res, hasResult := r.forward(ctx, c, target)
		if hasResult && (res.refusal == nil || !isNotOwner(res.refusal)) {
			return res
		}
		lastResult = res
	}
}

// isNotOwner reports whether the receiver refused because it does not own the
// key's shard.
func isNotOwner(refusal *structs.Refusal) bool {
	return refusal.Reason == structs.ReasonNotOwner && refusal.Outcome == structs.OutcomeNotRun
}

// nextOwner returns the last known owner of a shard, unless it was tried. For a
// shard of another domain it may return an entry instance of that domain
// instead, since that instance knows the owners of its domain's shards.
func (r *Router) nextOwner(shard structs.ShardID, c call, tried map[string]bool) (structs.Member, bool) {
	if c.hops >= r.Settings.MaxHops {
		return structs.Member{}, false
	}
	owner, ok := r.Ownership.Owner(shard)
	if ok && owner.Name != r.Instance && !tried[owner.Name] {
		return owner, true
	}
	if shard.Domain == r.Domain {
		return structs.Member{}, false
	}
	for _, m := range r.rankedEntries(shard.Domain, c.req.ID) {
		if !tried[m.Name] {
			return m, true
		}
	}
	return structs.Member{}, false
}

// rankedEntries returns the reachable entry instances of a domain, without this
// one, in an order that depends on rankKey, so that requests are spread over
// them.
func (r *Router) rankedEntries(domain, rankKey string) []structs.Member {
	byName := map[string]structs.Member{}
	var names []string
	for _, m := range r.Members.Entries(domain) {
		if m.Name != r.Instance && r.Members.Reachable(m.Name) {
			byName[m.Name] = m
			names = append(names, m.Name)
		}
	}
	var ranked []structs.Member
	for _, name := range structs.RankByHash(rankKey, names) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// noOwnerResult returns the refusal of a keyed call that reached no owner. If the
// instance that was tried last has refused the call, this is its refusal. The
// call did not run: no instance received it, or each instance that received it
// refused it because it does not own the shard.
func (r *Router) noOwnerResult(shard structs.ShardID, lastResult result) result {
	if lastResult.refusal != nil && isNotOwner(lastResult.refusal) {
		return lastResult
	}
	reason := structs.ReasonOwnerUnreachable
	if shard.Domain != r.Domain {
		reason = structs.ReasonDomainUnreachable
	} else if owner, ok := r.Ownership.Owner(shard); ok && owner.Name == r.Instance {
		reason = structs.ReasonOwnershipUnproven
	}
	return refused(structs.NotRun(reason, "no owner of shard %s can be reached", shard).WithRetryAfter(r.Settings.Lease))
}

// routeUnkeyed serves a call in this domain. If this domain has no live runner
// and the caller named no domain, it forwards the call to the other domains in
// turn.
func (r *Router) routeUnkeyed(ctx context.Context, c call) result {
	res := r.serveUnkeyed(ctx, c)
	if c.req.Domain != "" || res.refusal == nil || !isNoRunner(res.refusal) {
		return res
	}
	others := slices.DeleteFunc(slices.Clone(r.Topology.Domains()), func(d string) bool { return d == r.Domain })
	for _, domain := range structs.RankByHash(c.req.ID, others) {
		remote := r.forwardToDomain(ctx, c, domain)
		if remote.refusal == nil || !canTryNextDomain(remote.refusal) {
			return remote
		}
	}
	return res
}

// isNoRunner reports whether the call was refused because the domain has no
// live runner.
func isNoRunner(refusal *structs.Refusal) bool {
	return refusal.Reason == structs.ReasonNoRunner && refusal.Outcome == structs.OutcomeNotRun
}

// canTryNextDomain reports whether the call did not run because the domain has
// no live runner or cannot be reached.
func canTryNextDomain(refusal *structs.Refusal) bool {
	return isNoRunner(refusal) || refusal.Reason == structs.ReasonDomainUnreachable && refusal.Outcome == structs.OutcomeNotRun
}

// serveUnkeyed serves a call in a shard of this domain that has live runners of
// the call's service. If this instance owns such a shard, it dispatches the call
// itself. Otherwise it forwards the call to the owner of such a shard. If every
// owner is unreachable or refuses because it does not own the shard, it
// dispatches the call over the connections that the owners leave free for other
// instances.
func (r *Router) serveUnkeyed(ctx context.Context, c call) result {
	shards := r.shardsWithRunners(c)
	if len(shards) == 0 {
		return refused(r.noRunnerRefusal(c.req.Service, r.Domain))
	}
	for _, shard := range shards {
		if r.isOwner(shard) {
			return r.attemptUnkeyed(ctx, c, r.ownerPool(shard, c.req.Service))
		}
	}
	for _, shard := range shards {
		if res, hasResult := r.forwardToOwner(ctx, c, shard); hasResult && (res.refusal == nil || !isNotOwner(res.refusal)) {
			return res
		}
	}
	return r.attemptOverReservedConnections(ctx, c, shards)
}

// shardsWithRunners returns the shards of this domain that have live runners of
// the call's service, in an order that depends on the request's ID.
func (r *Router) shardsWithRunners(c call) []structs.ShardID {
	shards := r.Topology.Shards()
	firstIndex := structs.ShardOf(r.Domain, c.req.ID, shards).Index
	var withRunners []structs.ShardID
	for i := range max(shards, 1) {
		shard := structs.ShardID{Domain: r.Domain, Index: (firstIndex + i) % max(shards, 1)}
		if r.ownerPool(shard, c.req.Service).hasLiveRunner() {
			withRunners = append(withRunners, shard)
		}
	}
	return withRunners
}

// forwardToOwner forwards an un-keyed call to the owner of a shard. It reports
// false, and returns no result, if it knows no other instance as the owner, if
// the owner cannot be reached or if the call was forwarded too often.
func (r *Router) forwardToOwner(ctx context.Context, c call, shard structs.ShardID) (result, bool) {
	owner, ok := r.Ownership.Owner(shard)
	if !ok || owner.Name == r.Instance || c.hops >= r.Settings.MaxHops {
		return result{}, false
	}
	c.req.Domain = r.Domain
	return r.forward(ctx, c, owner)
}

// attemptOverReservedConnections dispatches an un-keyed call to a runner of one
// of the shards, although this instance owns none of them. It uses only the
// reserved connections: of the connections that a runner accepts, the owner of
// the runner's shard leaves ReservedConnections free for each other entry
// instance of the domain.
func (r *Router) attemptOverReservedConnections(ctx context.Context, c call, shards []structs.ShardID) result {
	r.Metrics.Count("requests_reserved", 1)
	for _, shard := range shards {
		if pool := r.reservedPool(shard, c.req.Service); pool.hasLiveRunner() {
			return r.attemptUnkeyed(ctx, c, pool)
		}
	}
	return refused(r.noRunnerRefusal(c.req.Service, r.Domain))
}

// attemptUnkeyed dispatches a call without a key. Such a call can have no
// duplicate, so no lease has to last until its deadline.
func (r *Router) attemptUnkeyed(ctx context.Context, c call, pool *runnerPool) result {
	return r.waitUntilDeadline(ctx, c, func(ctx context.Context) result {
		return r.attempt(ctx, c, pool, func() *structs.Refusal { return nil })
	})
}

// forwardToDomain forwards an un-keyed call to an entry instance of a domain.
func (r *Router) forwardToDomain(ctx context.Context, c call, domain string) result {
	c.req.Domain = domain
	for i, m := range r.rankedEntries(domain, c.req.ID) {
		if i >= maxEntriesTried || c.hops >= r.Settings.MaxHops {
			break
		}
		if res, hasResult := r.forward(ctx, c, m); hasResult {
			return res
		}
	}
	return refused(structs.NotRun(structs.ReasonDomainUnreachable, "no entry instance of %s can be reached", domain).WithRetryAfter(r.Settings.Lease))
}

// forward sends a call to a peer and returns the result. It reports false, and
// returns no result, if the peer cannot be reached, which proves that the call
// did not run. It refuses the call without sending it if the deadline has passed
// or MaxForwards requests are being forwarded to the peer.
func (r *Router) forward(ctx context.Context, c call, target structs.Member) (result, bool) {
	remaining := c.deadline.Sub(r.Clock.Now())
	if remaining <= 0 {
		return refused(structs.NotRun(structs.ReasonDeadlineExceeded, "the deadline passed before the request was forwarded")), true
	}
	if !r.forwardLimiter.tryAcquire(target.Name) {
		return refused(structs.NotRun(structs.ReasonQueueFull, "%d requests are being forwarded to %s", r.Settings.MaxForwards, target.Name).WithRetryAfter(r.Settings.TransitMargin)), true
	}
	defer r.forwardLimiter.release(target.Name)
	c.req.Timeout = remaining
	// The peer waits for the outcome until WaitGrace after the deadline. The
	// second WaitGrace covers the time until its response arrives here.
	forwardCtx, cancel := clockwork.WithDeadline(ctx, r.Clock, c.deadline.Add(2*r.Settings.WaitGrace))
	defer cancel()
	res, err := r.Peers.Forward(forwardCtx, target.Address, &peer.ForwardRequest{Request: c.req, From: r.Instance, Hops: c.hops + 1})
	switch {
	case errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, peer.ErrOutcomeUnknown):
		return result{}, false
	case err != nil:
		return refused(r.lostForwardRefusal(c, target, err.Error())), true
	case res.Refusal != nil && res.Answer == nil:
		return refused(res.Refusal), true
	case res.Answer != nil && res.Refusal == nil && res.Answer.RequestID == c.req.ID:
		return result{answer: *res.Answer}, true
	}
	return refused(structs.MayHaveRun(structs.ReasonAnswerIncomplete, "%s gave no answer to this request", target.Name)), true
}

// lostForwardRefusal returns the refusal of a call that the peer may have
// received but whose answer was lost. A caller may retry a keyed call, since the
// owner joins the retry to the first attempt.
func (r *Router) lostForwardRefusal(c call, target structs.Member, detail string) *structs.Refusal {
	refusal := structs.MayHaveRun(structs.ReasonOwnerUnreachable, "the answer of %s was lost: %s", target.Name, detail)
	if c.req.Key != "" {
		return refusal.WithRetryAfter(r.Settings.TransitMargin)
	}
	return refusal
}
