package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/structs"
)

// Guards against a running manager that does not deliver its events, and against an
// instance that does not notice the release of a shard.
func TestServeDeliversEventsAndNoticesRelease(t *testing.T) {
	d := newDomain(2, clockwork.NewRealClock(), Config{Lease: 200 * time.Millisecond, Margin: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, m := range d.managers {
		go func() { _ = m.Serve(ctx) }()
	}
	var first, second *Manager
	select {
	case e := <-d.managers[0].Events():
		first, second = d.managers[0], d.managers[1]
		checkEvent(t, e, true, 1)
	case e := <-d.managers[1].Events():
		first, second = d.managers[1], d.managers[0]
		checkEvent(t, e, true, 1)
	}
	if err := first.Release(ctx, func(structs.ShardID) Handover { return Handover{} }); err != nil {
		t.Fatal(err)
	}
	e := <-first.Events()
	checkEvent(t, e, false, e.Lease.Epoch)
	checkEvent(t, <-second.Events(), true, e.Lease.Epoch+1)
	if owner, known := second.Owner(shard); !known || owner.Name != second.cfg.Self.Name {
		t.Fatalf("owner %+v, known %v", owner, known)
	}
}

func checkEvent(t *testing.T, e Event, acquired bool, epoch uint64) {
	t.Helper()
	if e.Acquired != acquired || e.Lease.Epoch != epoch || e.Lease.Shard != shard {
		t.Fatalf("event %+v, expected acquired %v, epoch %d", e, acquired, epoch)
	}
}
