package admission

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"bergamotstile/proptest"
	"bergamotstile/structs"
)

func init() { proptest.FixSeed() }

type queuedItem struct {
	caller   string
	class    structs.Class
	sequence int
}

// Guards against serving a caller twice while another caller of its class
// waits, against serving a less urgent class first, and against items that are
// lost or that a later item of their caller overtakes.
func TestFairQueueServesInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairQueue[queuedItem]
		waiting := []queuedItem{} // in order of arrival
		lastServed := map[queuedItem]int{}
		pops, nextSequence := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				item := queuedItem{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), structs.Class(rapid.IntRange(0, 2).Draw(t, "class")), nextSequence}
				nextSequence++
				q.push(item.class, item.caller, item)
				waiting = append(waiting, item)
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "i")
				if !q.remove(waiting[i].class, waiting[i].caller, waiting[i]) {
					t.Fatal("a waiting item was not found")
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
			},
			"pop": func(t *rapid.T) {
				item, ok := q.pop()
				if ok != (len(waiting) > 0) {
					t.Fatalf("pop returned %v with %d waiting", ok, len(waiting))
				}
				if !ok {
					return
				}
				pops++
				turn := queuedItem{item.caller, item.class, 0}
				for _, w := range waiting {
					other := queuedItem{w.caller, w.class, 0}
					switch {
					case w.class < item.class:
						t.Fatalf("class %d served before %d", item.class, w.class)
					case other == turn && w.sequence < item.sequence:
						t.Fatalf("item %d of %s served before %d", item.sequence, item.caller, w.sequence)
					case w.class == item.class && other != turn && lastServed[turn] > 0 && lastServed[other] < lastServed[turn] && w.sequence < lastServed[turn]:
						t.Fatalf("%s served twice while %s waited", item.caller, w.caller)
					}
				}
				// Turns are numbered with the counter that also numbers the
				// pushed items, so the two can be compared.
				nextSequence++
				lastServed[turn] = nextSequence
				for i, w := range waiting {
					if w == item {
						waiting = append(waiting[:i], waiting[i+1:]...)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				if q.len() != len(waiting) {
					t.Fatalf("queue length %d, want %d", q.len(), len(waiting))
				}
			},
		})
	})
}

// countedSlots counts the slots that are taken.
type countedSlots struct {
	size, taken, maxTaken int
}

func (s *countedSlots) Size() int { return s.size }
func (s *countedSlots) Take() (int, bool) {
	if s.taken >= s.size {
		return 0, false
	}
	s.taken++
	s.maxTaken = max(s.maxTaken, s.taken)
	return s.taken, true
}

// testQueue is a queue with counted slots. It changes the count with the
// queue's lock held, as an endpoint's own accounting does.
type testQueue struct {
	queue *Queue[int]
	slots *countedSlots
}

func newTestQueue(size int, s Settings) *testQueue {
	tq := &testQueue{slots: &countedSlots{size: size}}
	tq.queue = NewQueue(s, clockwork.NewRealClock(), Slots[int](tq.slots))
	return tq
}

func (tq *testQueue) release(kind string, took time.Duration) {
	tq.queue.mu.Lock()
	tq.slots.taken--
	tq.queue.mu.Unlock()
	tq.queue.Release(kind, took)
}

// serve acquires a slot, keeps it for the time took and returns the reason and
// the retry-after of a refusal.
func (tq *testQueue) serve(ctx context.Context, r Request, took time.Duration) (structs.Reason, time.Duration) {
	_, err := tq.queue.Acquire(ctx, r)
	if err != nil {
		var e *RefusalError
		errors.As(err, &e)
		return e.Reason, e.RetryAfter
	}
	time.Sleep(took)
	tq.release(r.Kind, took)
	return "", 0
}

func newRequest(caller string, class structs.Class, timeLeft time.Duration) Request {
	return Request{Caller: caller, Class: class, Kind: "proof", Deadline: time.Now().Add(timeLeft)}
}

// Guards against slots that are granted twice or lost, against exceeded bounds,
// and against a slot granted to a request after its deadline or after its
// caller has left.
func TestQueueInvariantsUnderRandomRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(rt, "slots")
		s := Settings{MaxWaiting: rapid.IntRange(1, 20).Draw(rt, "total"), MaxWaitingPerCaller: rapid.IntRange(1, 10).Draw(rt, "per caller")}
		type requestPlan struct{ delayMS, deadlineMS, serviceMS, cancelMS, caller, class int }
		plans := make([]requestPlan, rapid.IntRange(1, 80).Draw(rt, "requests"))
		for i := range plans {
			plans[i] = requestPlan{rapid.IntRange(0, 30).Draw(rt, "after"), rapid.IntRange(1, 300).Draw(rt, "left"), rapid.IntRange(1, 80).Draw(rt, "took"),
				rapid.SampledFrom([]int{0, 0, 20}).Draw(rt, "leave"), rapid.IntRange(0, 3).Draw(rt, "caller"), rapid.IntRange(0, 2).Draw(rt, "class")}
		}
		var mu sync.Mutex
		var violations []string
		addViolation := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			violations = append(violations, fmt.Sprintf(format, args...))
		}
		synctest.Test(t, func(t *testing.T) {
			tq := newTestQueue(size, s)
			var wg sync.WaitGroup
			for _, p := range plans {
				time.Sleep(time.Duration(p.delayMS) * time.Millisecond)
				wg.Go(func() {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if p.cancelMS > 0 {
						time.AfterFunc(time.Duration(p.cancelMS)*time.Millisecond, cancel)
					}
					r := newRequest(fmt.Sprint(p.caller), structs.Class(p.class), time.Duration(p.deadlineMS)*time.Millisecond)
					if _, err := tq.queue.Acquire(ctx, r); err != nil {
						return
					}
					if time.Now().After(r.Deadline) {
						addViolation("a slot was granted after the deadline")
					}
					time.Sleep(time.Duration(p.serviceMS) * time.Millisecond)
					tq.release(r.Kind, time.Duration(p.serviceMS)*time.Millisecond)
				})
				synctest.Wait()
				tq.queue.mu.Lock()
				if tq.queue.waiting.len() > s.MaxWaiting || tq.queue.waiting.callerLen(fmt.Sprint(p.caller)) > s.MaxWaitingPerCaller {
					addViolation("%d requests wait, the bounds are %+v", tq.queue.waiting.len(), s)
				}
				if tq.queue.waiting.len() > 0 && tq.slots.taken < size {
					addViolation("%d requests wait while slots are free", tq.queue.waiting.len())
				}
				tq.queue.mu.Unlock()
			}
			wg.Wait()
			if tq.slots.maxTaken > size || tq.slots.taken != 0 || tq.queue.grantedTotal() != 0 || tq.queue.Len() != 0 {
				addViolation("at most %d of %d slots were taken; at the end %d are taken, %d are counted as granted and %d requests wait", tq.slots.maxTaken, size, tq.slots.taken, tq.queue.grantedTotal(), tq.queue.Len())
			}
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// Guards against a caller whose many requests delay or displace those of
// another caller.
func TestFloodDoesNotStarveOtherCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tq := newTestQueue(4, Settings{MaxWaiting: 200, MaxWaitingPerCaller: 100})
		var wg sync.WaitGroup
		for i := range 600 {
			wg.Go(func() {
				tq.serve(t.Context(), newRequest(fmt.Sprint("flood-", i%3), structs.ClassNormal, time.Hour), 100*time.Millisecond)
			})
		}
		synctest.Wait()
		start := time.Now()
		for i := range 10 {
			if reason, _ := tq.serve(t.Context(), newRequest("quiet", structs.ClassNormal, time.Hour), 100*time.Millisecond); reason != "" {
				t.Errorf("request %d of the quiet caller: %s", i, reason)
			}
		}
		// The three other callers take turns with this one, so each request
		// waits for at most one slot and three other requests.
		if took := time.Since(start); took > 10*300*time.Millisecond {
			t.Errorf("ten requests of the quiet caller took %v", took)
		}
		wg.Wait()
	})
}

// Guards against requests that wait although they cannot finish in time, and
// against a retry-after that does not follow the length of the queue.
func TestPredictionRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tq := newTestQueue(1, DefaultSettings())
		for range 20 {
			tq.serve(t.Context(), newRequest("a", structs.ClassNormal, time.Second), 100*time.Millisecond)
		}
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { tq.serve(t.Context(), newRequest("a", structs.ClassNormal, time.Hour), 100*time.Millisecond) })
		}
		synctest.Wait()
		start := time.Now()
		reason, retry := tq.serve(t.Context(), newRequest("a", structs.ClassNormal, 500*time.Millisecond), 0)
		if reason != structs.ReasonDeadlineUnreachable || retry != 400*time.Millisecond || time.Since(start) != 0 {
			t.Errorf("got %q, retry after %v, after %v", reason, retry, time.Since(start))
		}
		if reason, _ := tq.serve(t.Context(), newRequest("b", structs.ClassNormal, 500*time.Millisecond), 100*time.Millisecond); reason != "" {
			t.Errorf("a caller with no queue was refused: %s", reason)
		}
		wg.Wait()
	})
}

// Guards against refusing all requests of a kind for ever after a slow period.
// A refused request gives no measurement, so the old service times would stay.
func TestSlowKindIsMeasuredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tq := newTestQueue(2, DefaultSettings())
		for range 20 {
			tq.serve(t.Context(), newRequest("a", structs.ClassNormal, time.Hour), time.Second)
		}
		first := make(chan structs.Reason)
		go func() {
			reason, _ := tq.serve(t.Context(), newRequest("a", structs.ClassNormal, 500*time.Millisecond), 50*time.Millisecond)
			first <- reason
		}()
		synctest.Wait()
		if reason, _ := tq.serve(t.Context(), newRequest("a", structs.ClassNormal, 500*time.Millisecond), 50*time.Millisecond); reason != structs.ReasonDeadlineUnreachable {
			t.Errorf("refusal of a request during a probe: got reason %q", reason)
		}
		if reason := <-first; reason != "" {
			t.Errorf("the probe was refused: %s", reason)
		}
	})
}

// Guards against refusing an urgent request while less urgent ones wait, and
// against dropping the wrong request.
func TestLowestClassIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tq := newTestQueue(1, Settings{MaxWaiting: 3, MaxWaitingPerCaller: 3})
		reasons := make([]structs.Reason, 6)
		var wg sync.WaitGroup
		for i, r := range []Request{
			newRequest("a", structs.ClassNormal, time.Hour), // takes the only slot
			newRequest("a", structs.ClassNormal, time.Hour),
			newRequest("b", structs.ClassLow, time.Hour),
			newRequest("b", structs.ClassLow, time.Hour), // dropped in favour of the next request
			newRequest("c", structs.ClassUrgent, time.Hour),
			newRequest("c", structs.ClassLow, time.Hour), // refused because the queue is full
		} {
			wg.Go(func() { reasons[i], _ = tq.serve(t.Context(), r, 100*time.Millisecond) })
			synctest.Wait()
		}
		wg.Wait()
		want := []structs.Reason{"", "", "", structs.ReasonShed, "", structs.ReasonQueueFull}
		if fmt.Sprint(reasons) != fmt.Sprint(want) {
			t.Errorf("got %q, want %q", reasons, want)
		}
	})
}
