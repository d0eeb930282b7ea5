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

// keyID names a key within its home domain.
type keyID struct {
	domain string
	key    string
}

// keyEntry is the shared attempt of a key, or how it ended.
type keyEntry struct {
	id          keyID
	shard       structs.ShardID
	fingerprint [sha256.Size]byte
	deadline    time.Time
	done        chan struct{} // closed when res is set
	res         result
	finished    bool
	held        bool      // the claim of the finished attempt is not resolved
	expires     time.Time // of a finished entry that is not held
}

// keyTable holds the keys in flight and the answers that are remembered.
type keyTable struct {
	settings Settings
	clock    clockwork.Clock
	mu       sync.Mutex
	entries  map[keyID]*keyEntry
	finished []*keyEntry // in the order in which they ended
	bytes    int         // of remembered answers
}

func newKeyTable(s Settings, clock clockwork.Clock) *keyTable {
	return &keyTable{settings: s, clock: clock, entries: map[keyID]*keyEntry{}}
}

// fingerprint tells whether two requests under one key are the same request.
// It covers the caller, so that no caller receives another's answer.
func fingerprint(req structs.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Caller), []byte(req.Service), []byte(req.Kind), req.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// begin returns the entry that a call joins. The call must run the attempt if
// first is true.
func (t *keyTable) begin(c call, shard structs.ShardID) (e *keyEntry, first bool, refusal *structs.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
	id := keyID{domain: shard.Domain, key: c.req.Key}
	print := fingerprint(c.req)
	if e := t.entries[id]; e != nil && !t.replaceable(e) {
		if e.fingerprint != print {
			return nil, false, structs.NotRun(structs.ReasonKeyReused, "the key was used for another request")
		}
		return e, false, nil
	}
	if len(t.entries) >= t.settings.MaxKeys && !t.dropOldest() {
		return nil, false, structs.NotRun(structs.ReasonQueueFull, "%d keys are in flight", t.settings.MaxKeys).WithRetryAfter(t.settings.RequestTimeoutMax)
	}
	t.forget(t.entries[id])
	e = &keyEntry{id: id, shard: shard, fingerprint: print, deadline: c.deadline, done: make(chan struct{})}
	t.entries[id] = e
	return e, true, nil
}

// replaceable reports whether a new attempt may start under the entry's key:
// the last one ended without an answer, no dispatch of it can still run, and
// its claim is resolved.
func (t *keyTable) replaceable(e *keyEntry) bool {
	return e.finished && !e.held && e.res.refusal != nil && !t.clock.Now().Before(e.res.endsBy)
}

// finish records how an attempt ended and wakes everyone who joined it.
func (t *keyTable) finish(e *keyEntry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.res = res
	e.finished = true
	close(e.done)
	if e.held = res.pending != nil; !e.held {
		t.retain(e)
	}
}

// resolve replaces the outcome of an attempt whose claim is resolved now.
func (t *keyTable) resolve(e *keyEntry, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.res = res
	e.held = false
	t.retain(e)
}

// outcome returns how a finished attempt ended, as far as it is known now.
func (t *keyTable) outcome(e *keyEntry) result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.res
}

// retain remembers a finished entry for a while.
func (t *keyTable) retain(e *keyEntry) {
	e.expires = t.clock.Now().Add(t.settings.AnswerRetention)
	t.finished = append(t.finished, e)
	t.bytes += len(e.res.answer.Body)
	for t.bytes > t.settings.MaxRememberedBytes && t.dropOldest() {
	}
}

// dropOldest forgets the entry that ended first, unless it may still run.
func (t *keyTable) dropOldest() bool {
	for i, e := range t.finished {
		if t.clock.Now().Before(e.res.endsBy) {
			continue
		}
		t.finished = append(t.finished[:i], t.finished[i+1:]...)
		t.forget(e)
		return true
	}
	return false
}

// forget drops an entry from the table. Its place among the finished ones is
// left to the caller.
func (t *keyTable) forget(e *keyEntry) {
	if e == nil || t.entries[e.id] != e {
		return
	}
	delete(t.entries, e.id)
	t.bytes -= len(e.res.answer.Body)
}

func (t *keyTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired()
}

func (t *keyTable) dropExpired() {
	now := t.clock.Now()
	for len(t.finished) > 0 && !now.Before(t.finished[0].expires) {
		t.forget(t.finished[0])
		t.finished = t.finished[1:]
	}
}

// quiet returns how long a dispatch of the shard's keys may still run. An
// attempt that has not been dispatched yet counts too, since it may be next.
func (t *keyTable) quiet(shard structs.ShardID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var longest time.Duration
	for _, e := range t.entries {
		if e.shard != shard {
			continue
		}
		until := e.res.endsBy
		if !e.finished {
			until = e.deadline.Add(t.settings.Settle)
			if now.After(e.deadline) {
				until = e.deadline.Add(t.settings.Overrun)
			}
		}
		longest = max(longest, until.Sub(now))
	}
	return longest
}

// serveKeyed joins the call to the key's attempt, which it starts if there is
// none. The attempt does not depend on any of the callers that wait for it.
func (r *Router) serveKeyed(ctx context.Context, c call, shard structs.ShardID) result {
	e, first, refusal := r.keys.begin(c, shard)
	if refusal != nil {
		return refused(refusal)
	}
	if first {
		go r.runKeyed(context.WithoutCancel(ctx), c, e)
	} else {
		r.Metrics.Count("requests_joined", 1)
	}
	return r.await(ctx, c, e)
}

func (r *Router) runKeyed(ctx context.Context, c call, e *keyEntry) {
	res := refused(structs.MayHaveRun(structs.ReasonInternal, "the attempt ended abnormally"))
	res.endsBy = c.deadline.Add(r.Settings.Settle)
	defer func() {
		if p := recover(); p != nil {
			r.Log.WithFields(logrus.Fields{"request": c.req.ID, "panic": p}).Error("attempt ended abnormally")
		}
		r.keys.finish(e, res)
		if res.pending != nil {
			r.keys.resolve(e, <-res.pending)
		}
	}()
	res = r.attemptKeyed(ctx, c, e.shard)
}

// await waits for the outcome of an attempt until the call's own deadline.
func (r *Router) await(ctx context.Context, c call, e *keyEntry) result {
	late := r.Clock.NewTimer(c.deadline.Add(r.Settings.WaitGrace).Sub(r.Clock.Now()))
	defer late.Stop()
	select {
	case <-e.done:
		res := r.keys.outcome(e)
		res.answer.RequestID = c.req.ID
		return res
	case <-ctx.Done():
		return refused(structs.MayHaveRun(structs.ReasonDeadlineExceeded, "the caller left while its request was in flight"))
	case <-late.Chan():
		return refused(structs.MayHaveRun(structs.ReasonDeadlineExceeded, "the request is still in flight"))
	}
}

// attemptKeyed dispatches within the shard's lease.
func (r *Router) attemptKeyed(ctx context.Context, c call, shard structs.ShardID) result {
	if refusal := r.awaitWindow(ctx, c, shard); refusal != nil {
		return refused(refusal)
	}
	if !c.req.Idempotent {
		return r.attemptClaimed(ctx, c, shard)
	}
	return r.attempt(ctx, c, r.lane(shard, c.req.Service), func() *structs.Refusal { return r.inWindow(c, shard) })
}

// inWindow refuses a keyed dispatch that could overlap one of another owner:
// before the predecessor's dispatches have ended, or with a deadline after the
// end of this instance's own lease.
func (r *Router) inWindow(c call, shard structs.ShardID) *structs.Refusal {
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

// awaitWindow waits for the end of the predecessor's quiet time, and a little
// for a lease renewal that is under way.
func (r *Router) awaitWindow(ctx context.Context, c call, shard structs.ShardID) *structs.Refusal {
	start := r.Clock.Now()
	for {
		refusal := r.inWindow(c, shard)
		if refusal == nil {
			return nil
		}
		now := r.Clock.Now()
		after := r.Ownership.DispatchAfter(shard)
		if after.After(now) && !after.Before(c.deadline) {
			return refusal.WithRetryAfter(after.Sub(now))
		}
		if !after.After(now) && now.Sub(start) >= r.Settings.LeaseWait || !now.Before(c.deadline) {
			return refusal
		}
		select {
		case <-ctx.Done():
			return refusal
		case <-r.Clock.After(r.Settings.LeasePoll):
		}
	}
}
