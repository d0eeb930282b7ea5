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

func init() { proptest.Fix() }

type queued struct {
	caller string
	class  structs.Class
	n      int
}

// Guards against a caller that is served twice while another of its class
// waits, a less urgent class that goes first, and items that are lost or
// overtaken by later ones of their caller.
func TestFairQueueServesInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q fairQueue[queued]
		waiting := []queued{} // in order of arrival
		last := map[queued]int{}
		pops, next := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				item := queued{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), structs.Class(rapid.IntRange(0, 2).Draw(t, "class")), next}
				next++
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
				turn := queued{item.caller, item.class, 0}
				for _, w := range waiting {
					other := queued{w.caller, w.class, 0}
					switch {
					case w.class < item.class:
						t.Fatalf("class %d served before %d", item.class, w.class)
					case other == turn && w.n < item.n:
						t.Fatalf("item %d of %s served before %d", item.n, item.caller, w.n)
					case w.class == item.class && other != turn && last[turn] > 0 && last[other] < last[turn] && w.n < last[turn]:
						t.Fatalf("%s served twice while %s waited", item.caller, w.caller)
					}
				}
				// The order of turns is kept as a count that grows with pushes too.
				next++
				last[turn] = next
				for i, w := range waiting {
					if w == item {
						waiting = append(waiting[:i], waiting[i+1:]...)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				if q.len() != len(waiting) {
					t.Fatalf("length %d, want %d", q.len(), len(waiting))
				}
			},
		})
	})
}

// slots counts how many are out.
type slots struct {
	size, out, most int
}

func (s *slots) Size() int { return s.size }
func (s *slots) Take() (int, bool) {
	if s.out >= s.size {
		return 0, false
	}
	s.out++
	s.most = max(s.most, s.out)
	return s.out, true
}

// bench is a queue whose slots are given back with the queue's lock held, as
// an endpoint's own accounting would.
type bench struct {
	q     *Queue[int]
	slots *slots
}

func newBench(size int, s Settings) *bench {
	b := &bench{slots: &slots{size: size}}
	b.q = NewQueue(s, clockwork.NewRealClock(), Slots[int](b.slots))
	return b
}

func (b *bench) done(kind string, took time.Duration) {
	b.q.mu.Lock()
	b.slots.out--
	b.q.mu.Unlock()
	b.q.Done(kind, took)
}

// serve takes a slot for a time and returns the reason of a refusal.
func (b *bench) serve(ctx context.Context, w Waiter, took time.Duration) (structs.Reason, time.Duration) {
	_, err := b.q.Acquire(ctx, w)
	if err != nil {
		var e *Refused
		errors.As(err, &e)
		return e.Reason, e.RetryAfter
	}
	time.Sleep(took)
	b.done(w.Kind, took)
	return "", 0
}

func waiter(caller string, class structs.Class, left time.Duration) Waiter {
	return Waiter{Caller: caller, Class: class, Kind: "proof", Deadline: time.Now().Add(left)}
}

// Guards against slots that are handed out twice or lost, bounds that do not
// hold, and requests that get a slot after their deadline or after they left.
func TestQueueHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(rt, "slots")
		s := Settings{MaxWaiting: rapid.IntRange(1, 20).Draw(rt, "total"), MaxWaitingPerCaller: rapid.IntRange(1, 10).Draw(rt, "per caller")}
		type plan struct{ after, left, took, leave, caller, class int }
		plans := make([]plan, rapid.IntRange(1, 80).Draw(rt, "requests"))
		for i := range plans {
			plans[i] = plan{rapid.IntRange(0, 30).Draw(rt, "after"), rapid.IntRange(1, 300).Draw(rt, "left"), rapid.IntRange(1, 80).Draw(rt, "took"),
				rapid.SampledFrom([]int{0, 0, 20}).Draw(rt, "leave"), rapid.IntRange(0, 3).Draw(rt, "caller"), rapid.IntRange(0, 2).Draw(rt, "class")}
		}
		var mu sync.Mutex
		var problems []string
		fail := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			problems = append(problems, fmt.Sprintf(format, args...))
		}
		synctest.Test(t, func(t *testing.T) {
			b := newBench(size, s)
			var wg sync.WaitGroup
			for _, p := range plans {
				time.Sleep(time.Duration(p.after) * time.Millisecond)
				wg.Go(func() {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if p.leave > 0 {
						time.AfterFunc(time.Duration(p.leave)*time.Millisecond, cancel)
					}
					w := waiter(fmt.Sprint(p.caller), structs.Class(p.class), time.Duration(p.left)*time.Millisecond)
					if _, err := b.q.Acquire(ctx, w); err != nil {
						return
					}
					if time.Now().After(w.Deadline) {
						fail("a slot was granted after the deadline")
					}
					time.Sleep(time.Duration(p.took) * time.Millisecond)
					b.done(w.Kind, time.Duration(p.took)*time.Millisecond)
				})
				synctest.Wait()
				b.q.mu.Lock()
				if b.q.waiting.len() > s.MaxWaiting || b.q.waiting.callerLen(fmt.Sprint(p.caller)) > s.MaxWaitingPerCaller {
					fail("%d wait, the bounds are %+v", b.q.waiting.len(), s)
				}
				if b.q.waiting.len() > 0 && b.slots.out < size {
					fail("%d wait while slots are free", b.q.waiting.len())
				}
				b.q.mu.Unlock()
			}
			wg.Wait()
			if b.slots.most > size || b.slots.out != 0 || b.q.held() != 0 || b.q.Len() != 0 {
				fail("at most %d of %d slots were out; %d are at the end, %d are counted, %d wait", b.slots.most, size, b.slots.out, b.q.held(), b.q.Len())
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

// Guards against one caller whose flood delays or crowds out another.
func TestFloodDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4, Settings{MaxWaiting: 200, MaxWaitingPerCaller: 100})
		var wg sync.WaitGroup
		for i := range 600 {
			wg.Go(func() {
				b.serve(t.Context(), waiter(fmt.Sprint("flood-", i%3), structs.ClassNormal, time.Hour), 100*time.Millisecond)
			})
		}
		synctest.Wait()
		start := time.Now()
		for i := range 10 {
			if reason, _ := b.serve(t.Context(), waiter("quiet", structs.ClassNormal, time.Hour), 100*time.Millisecond); reason != "" {
				t.Errorf("request %d of the quiet caller: %s", i, reason)
			}
		}
		// Three other callers have turns, so each request waits at most for a
		// slot and three others.
		if took := time.Since(start); took > 10*300*time.Millisecond {
			t.Errorf("ten requests of the quiet caller took %v", took)
		}
		wg.Wait()
	})
}

// Guards against requests that wait although they cannot finish in time, and
// against a retry-after that does not follow the queue.
func TestPredictionRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, DefaultSettings())
		for range 20 {
			b.serve(t.Context(), waiter("a", structs.ClassNormal, time.Second), 100*time.Millisecond)
		}
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { b.serve(t.Context(), waiter("a", structs.ClassNormal, time.Hour), 100*time.Millisecond) })
		}
		synctest.Wait()
		start := time.Now()
		reason, retry := b.serve(t.Context(), waiter("a", structs.ClassNormal, 500*time.Millisecond), 0)
		if reason != structs.ReasonDeadlineUnreachable || retry != 400*time.Millisecond || time.Since(start) != 0 {
			t.Errorf("got %q, retry after %v, after %v", reason, retry, time.Since(start))
		}
		if reason, _ := b.serve(t.Context(), waiter("b", structs.ClassNormal, 500*time.Millisecond), 100*time.Millisecond); reason != "" {
			t.Errorf("a caller with no queue was refused: %s", reason)
		}
		wg.Wait()
	})
}

// Guards against a kind whose requests are refused for ever after a slow
// period, since a refused request measures nothing.
func TestSlowKindIsMeasuredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, DefaultSettings())
		for range 20 {
			b.serve(t.Context(), waiter("a", structs.ClassNormal, time.Hour), time.Second)
		}
		first := make(chan structs.Reason)
		go func() {
			reason, _ := b.serve(t.Context(), waiter("a", structs.ClassNormal, 500*time.Millisecond), 50*time.Millisecond)
			first <- reason
		}()
		synctest.Wait()
		if reason, _ := b.serve(t.Context(), waiter("a", structs.ClassNormal, 500*time.Millisecond), 50*time.Millisecond); reason != structs.ReasonDeadlineUnreachable {
			t.Errorf("beside a probe: %q", reason)
		}
		if reason := <-first; reason != "" {
			t.Errorf("the probe was refused: %s", reason)
		}
	})
}

// Guards against an urgent request that is refused while less urgent ones
// wait, and against the wrong one being dropped.
func TestLowestClassIsShedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, Settings{MaxWaiting: 3, MaxWaitingPerCaller: 3})
		reasons := make([]structs.Reason, 6)
		var wg sync.WaitGroup
		for i, w := range []Waiter{
			waiter("a", structs.ClassNormal, time.Hour), // takes the slot
			waiter("a", structs.ClassNormal, time.Hour),
			waiter("b", structs.ClassLow, time.Hour),
			waiter("b", structs.ClassLow, time.Hour), // dropped for the next one
			waiter("c", structs.ClassUrgent, time.Hour),
			waiter("c", structs.ClassLow, time.Hour), // finds the queue full
		} {
			wg.Go(func() { reasons[i], _ = b.serve(t.Context(), w, 100*time.Millisecond) })
			synctest.Wait()
		}
		wg.Wait()
		want := []structs.Reason{"", "", "", structs.ReasonShed, "", structs.ReasonQueueFull}
		if fmt.Sprint(reasons) != fmt.Sprint(want) {
			t.Errorf("got %q, want %q", reasons, want)
		}
	})
}
