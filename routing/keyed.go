package routing

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/structs"
)

// keyID identifies a key within its home domain.
type keyID struct {
	domain string
	key    string
}

// keyEntry is the attempt that all calls under a key share. After the attempt
// has ended it holds the result.
type keyEntry struct {
	id              keyID
	shard           structs.ShardID
	fingerprint     [sha256.Size]byte
	deadline        time.Time     // of the call that started the attempt
	done            chan struct{} // closed when the result is set
	result          result
	finished        bool
	claimUnresolved bool // the attempt has finished, but its claim is unresolved
	// expiresAt is when the entry is forgotten. It is set once the attempt has
	// finished and its claim is resolved.
	expiresAt time.Time
}

// keyTable holds the keys in flight and the finished attempts that are
// remembered.
type keyTable struct {
	settings        Settings
	clock           clockwork.Clock
	mu              sync.Mutex
	entries         map[keyID]*keyEntry
	finished        []*keyEntry // in the order in which they were remembered
	rememberedBytes int         // total size of the remembered answers
}

func newKeyTable(settings Settings, clock clockwork.Clock) *keyTable {
	return &keyTable{settings: settings, clock: clock, entries: map[keyID]*keyEntry{}}
}

// fingerprint identifies the content of a request, to detect a key that is used
// for two different requests. It covers the caller, so that no caller receives
// the answer to another caller's request.
func fingerprint(req structs.Request) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(req.Caller), []byte(req.Service), []byte(req.Kind), req.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hash.Write(size[:])
		_, _ = hash.Write(part)
	}
	return [sha256.Size]byte(hash.Sum(nil))
}

// joinOrStart returns the entry of the call's key. If isFirst is true, the
// entry is new and the caller of this function must run the attempt. A key that
// is used for a different request is refused.
func (t *keyTable) joinOrStart(c call, shard structs.ShardID) (entry *keyEntry, isFirst bool, refusal *structs.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
	id := keyID{domain: shard.Domain, key: c.req.Key}
	requestFingerprint := fingerprint(c.req)
	if existing := t.entries[id]; existing != nil && !t.isReplaceable(existing) {
		if existing.fingerprint != requestFingerprint {
			return nil, false, structs.NotRun(structs.ReasonKeyReused, "the key was used for another request")
		}
		return existing, false, nil
	}
	if len(t.entries) >= t.settings.MaxKeys && !t.dropOldest() {
		return nil, false, structs.NotRun(structs.ReasonQueueFull, "%d keys are in flight", t.settings.MaxKeys).WithRetryAfter(t.settings.RequestTimeoutMax)
	}
	t.forget(t.entries[id])
	entry = &keyEntry{id: id, shard: shard, fingerprint: requestFingerprint, deadline: c.deadline, done: make(chan struct{})}
	t.entries[id] = entry
	return entry, true, nil
}

// isReplaceable reports whether a new attempt may start under the entry's key:
// the last attempt ended without an answer, no dispatch of it can still run,
// and its claim is resolved.
func (t *keyTable) isReplaceable(entry *keyEntry) bool {
	return entry.finished && !entry.claimUnresolved && entry.result.refusal != nil && !t.clock.Now().Before(entry.result.endsBy)
}

// finish records the result of an attempt and wakes all calls that wait for it.
func (t *keyTable) finish(entry *keyEntry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.result = res
	entry.finished = true
	close(entry.done)
	if entry.claimUnresolved = res.resolution != nil; !entry.claimUnresolved {
		t.remember(entry)
	}
}

// resolve replaces the result of a finished attempt after its claim was
// resolved.
func (t *keyTable) resolve(entry *keyEntry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.result = res
	entry.claimUnresolved = false
	t.remember(entry)
}

// latestResult returns the present result of a finished attempt, which resolve
// may have replaced.
func (t *keyTable) latestResult(entry *keyEntry) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return entry.result
}

// remember keeps a finished entry for AnswerRetention. If the remembered
// answers exceed MaxRememberedBytes, it drops the oldest ones.
func (t *keyTable) remember(entry *keyEntry) {
	entry.expiresAt = t.clock.Now().Add(t.settings.AnswerRetention)
	t.finished = append(t.finished, entry)
	t.rememberedBytes += len(entry.result.answer.Body)
	for t.rememberedBytes > t.settings.MaxRememberedBytes && t.dropOldest() {
	}
}

// dropOldest forgets the oldest finished entry of which no dispatch may still
// run, and reports whether there was one.
func (t *keyTable) dropOldest() bool {
	for i, entry := range t.finished {
		if t.clock.Now().Before(entry.result.endsBy) {
			continue
		}
		t.finished = append(t.finished[:i], t.finished[i+1:]...)
		t.forget(entry)
		return true
	}
	return false
}

// forget removes an entry from the map and the size of its answer from
// rememberedBytes. The caller of forget removes the entry from the list of
// finished entries if it is there.
func (t *keyTable) forget(entry *keyEntry) {
	if entry == nil || t.entries[entry.id] != entry {
		return
	}
	delete(t.entries, entry.id)
	t.rememberedBytes -= len(entry.result.answer.Body)
}

// forgetExpired forgets the finished entries that have expired.
func (t *keyTable) forgetExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
}

// dropExpired is forgetExpired for a caller that holds the lock.
func (t *keyTable) dropExpired() {
	now := t.clock.Now()
	for len(t.finished) > 0 && !now.Before(t.finished[0].expiresAt) {
		t.forget(t.finished[0])
		t.finished = t.finished[1:]
	}
}

// quietPeriod returns how long dispatches under the shard's keys may still run.
// A successor must not dispatch before they have ended. An attempt that has not
// been dispatched counts as well, since it may be dispatched at any moment.
func (t *keyTable) quietPeriod(shard structs.ShardID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var longest time.Duration
	for _, entry := range t.entries {
		if entry.shard != shard {
			continue
		}
		until := entry.result.endsBy
		if !entry.finished {
			until = entry.deadline.Add(t.settings.TransitMargin)
			if now.After(entry.deadline) {
				until = entry.deadline.Add(t.settings.MaxOverrun)
			}
		}
		longest = max(longest, until.Sub(now))
	}
	return longest
}

// serveKeyed joins the call to the attempt of its key, and starts the attempt
// if there is none. The attempt is independent of the calls that wait for it:
// it goes on if they leave.
func (r *Router) serveKeyed(ctx context.Context, c call, shard structs.ShardID) result {
	entry, isFirst, refusal := r.keys.joinOrStart(c, shard)
	if refusal != nil {
		return refused(refusal)
	}
	if isFirst {
		go r.runKeyed(context.WithoutCancel(ctx), c, entry)
	} else {
		r.Metrics.Count("requests_joined", 1)
	}
	return r.awaitAttempt(ctx, c, entry)
}

// runKeyed runs the attempt of a key and records its result, also after a
// panic.
func (r *Router) runKeyed(ctx context.Context, c call, entry *keyEntry) {
	res := refused(structs.MayHaveRun(structs.ReasonInternal, "the attempt ended abnormally"))
	res.endsBy = c.deadline.Add(r.Settings.TransitMargin)
	defer func() {
		if p := recover(); p != nil {
			r.Log.WithFields(logrus.Fields{"request": c.req.ID, "panic": p}).Error("attempt panicked")
		}
		r.keys.finish(entry, res)
		if res.resolution != nil {
			r.keys.resolve(entry, <-res.resolution)
		}
	}()
	res = r.attemptKeyed(ctx, c, entry.shard)
}

// awaitAttempt waits for the result of an attempt until WaitGrace after the
// call's own deadline.
func (r *Router) awaitAttempt(ctx context.Context, c call, entry *keyEntry) result {
	deadlineTimer := r.Clock.NewTimer(c.deadline.Add(r.Settings.WaitGrace).Sub(r.Clock.Now()))
	defer deadlineTimer.Stop()
	select {
	case <-entry.done:
		res := r.keys.latestResult(entry)
		res.answer.RequestID = c.req.ID
		return res
	case <-ctx.Done():
		return refused(structs.MayHaveRun(structs.ReasonDeadlineExceeded, "the caller left while its request was in flight"))
	case <-deadlineTimer.Chan():
		return refused(structs.MayHaveRun(structs.ReasonDeadlineExceeded, "the request is still in flight"))
	}
}

// attemptKeyed attempts a keyed call once the shard's lease allows a dispatch.
func (r *Router) attemptKeyed(ctx context.Context, c call, shard structs.ShardID) result {
	if refusal := r.awaitDispatchWindow(ctx, c, shard); refusal != nil {
		return refused(refusal)
	}
	if !c.req.Idempotent {
		return r.attemptWithClaim(ctx, c, shard)
	}
	return r.attempt(ctx, c, r.ownerPool(shard, c.req.Service), func() *structs.Refusal { return r.checkDispatchWindow(c, shard) })
}

// checkDispatchWindow refuses a keyed dispatch that could overlap with the
// dispatch of another owner: one that starts before the dispatches of the
// former owner have ended, or whose deadline is after the end of this
// instance's own lease.
func (r *Router) checkDispatchWindow(c call, shard structs.ShardID) *structs.Refusal {
	if r.Clock.Now().Before(r.Ownership.DispatchAfter(shard)) {
		return structs.NotRun(structs.ReasonOwnershipUnproven, "requests of the former owner of shard %s may still run", shard)
	}
	until := r.Ownership.ServingUntil(shard)
	if until.IsZero() {
		return structs.NotRun(structs.ReasonNotOwner, "shard %s is no longer owned here", shard).WithRetryAfter(r.Settings.Lease)
	}
	if until.Before(c.deadline) {
		return structs.NotRun(structs.ReasonOwnershipUnproven, "the lease of shard %s ends before the request's deadline", shard).WithRetryAfter(r.Settings.Lease / 3)
	}
	return nil
}

// awaitDispatchWindow waits until checkDispatchWindow allows a dispatch. It
// waits until the former owner's dispatches have ended, if that is before the
// call's deadline, and for at most MaxLeaseWait for a lease renewal.
func (r *Router) awaitDispatchWindow(ctx context.Context, c call, shard structs.ShardID) *structs.Refusal {
	start := r.Clock.Now()
	for {
		refusal := r.checkDispatchWindow(c, shard)
		if refusal == nil {
			return nil
		}
		now := r.Clock.Now()
		after := r.Ownership.DispatchAfter(shard)
		if after.After(now) && !after.Before(c.deadline) {
			return refusal.WithRetryAfter(after.Sub(now))
		}
		if !after.After(now) && now.Sub(start) >= r.Settings.MaxLeaseWait || !now.Before(c.deadline) {
			return refusal
		}
		select {
		case <-ctx.Done():
			return refusal
		case <-r.Clock.After(r.Settings.LeasePollInterval):
		}
	}
}
