package scenario_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/harness"
	"bergamotstile/history"
	"bergamotstile/standin"
)

// configHistory records which versions were accepted, and the versions that
// each instance was seen with, in order.
type configHistory struct {
	mu       sync.Mutex
	accepted map[uint64]string
	doubled  []history.Violation
	seen     map[string][]uint64
	changes  int
}

// nextChange returns a number that no other change has: an apply of what is
// in force already would be answered with the version in force.
func (h *configHistory) nextChange() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes++
	return h.changes
}

func (h *configHistory) accept(version uint64, operator string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.accepted == nil {
		h.accepted = map[uint64]string{}
	}
	if other, ok := h.accepted[version]; ok {
		h.doubled = append(h.doubled, history.Violation{Property: history.Configuration,
			Detail: fmt.Sprintf("version %d was accepted from %s and from %s", version, other, operator)})
	}
	h.accepted[version] = operator
}

func (h *configHistory) see(instance string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen = map[string][]uint64{}
	}
	h.seen[instance] = append(h.seen[instance], version)
}

// watch records versions in force until stop is closed.
func (r *run) watch(stop chan struct{}) *sync.WaitGroup {
	var wait sync.WaitGroup
	for _, n := range r.Entries {
		wait.Go(func() {
			for {
				if status, err := r.Status(n); err == nil && status.ConfigVersion > 0 {
					r.config.see(n.Name, status.ConfigVersion)
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return &wait
}

// changed returns the deployment with another weight, so that each apply is a
// change.
func (r *run) changed(n int) *declaration.Deployment {
	d := r.Deployment()
	d.Teams[0].Weight = float64(1 + n)
	return d
}

// race lets two operators apply changes through different instances, each
// based on the version that it last saw.
func (r *run) race(rounds int) {
	var wait sync.WaitGroup
	for o := range 2 {
		entry := r.Entries[o%len(r.Entries)]
		wait.Go(func() {
			operator := fmt.Sprintf("operator-%d", o)
			for range rounds {
				status, err := r.Status(entry)
				if err != nil {
					continue
				}
				version, refusal := r.Apply(r.load.context, entry, operator, status.ConfigVersion, r.changed(r.config.nextChange()))
				if refusal == nil {
					r.config.accept(version, operator)
				}
			}
		})
	}
	wait.Wait()
}

// during watches all instances while what runs, and until the last accepted
// version is in force everywhere.
func (r *run) during(t *testing.T, what func()) {
	stop := make(chan struct{})
	wait := r.watch(stop)
	what()
	r.awaitVersion(t)
	close(stop)
	wait.Wait()
}

func (r *run) awaitVersion(t *testing.T) {
	want := uint64(0)
	for version := range r.config.accepted {
		want = max(want, version)
	}
	deadline := time.Now().Add(settleLimit)
	for _, n := range r.Entries {
		for {
			status, err := r.Status(n)
			if err == nil && status.ConfigVersion >= want {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s has version %d, not %d (%v)\n%s", n.Name, status.ConfigVersion, want, err, r.Logs(4000))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func operatorsRace(t *testing.T, r *run) {
	r.during(t, func() {
		r.platformFaults(t, standin.PlatformFaults{Table: standin.ComponentFaults{LoseAnswer: standin.FaultTrigger{Probability: 0.2}}})
		r.race(15)
		r.platformFaults(t, standin.PlatformFaults{})
		r.race(10)
	})
}

// frozenThroughChanges stops an instance while two changes are accepted.
func frozenThroughChanges(t *testing.T, r *run) {
	r.during(t, func() {
		victim := r.Entries[len(r.Entries)-1]
		victim.Freeze()
		r.race(2)
		victim.Resume()
		r.race(2)
	})
}

// domainCut cuts the second failure domain off from the platform and from its
// peers while changes are accepted elsewhere, starts a fresh instance of it
// during the cut, and heals the cut.
func domainCut(t *testing.T, r *run) {
	r.during(t, func() {
		var cut []*harness.Node
		for _, n := range r.Entries {
			if n.Domain == r.Options.Domains[1].Name {
				cut = append(cut, n)
			}
		}
		r.rest(500)
		for _, n := range cut {
			n.PlatformProxy.SetFaults(cutBothWays)
			n.Proxy.SetFaults(cutBothWays)
		}
		r.race(2)
		if r.random.IntN(2) == 0 {
			cut[0].Kill()
			r.must(t, r.Restart(cut[0]))
		}
		r.rest(2000)
		for _, n := range cut {
			n.PlatformProxy.SetFaults(standin.ProxyFaults{})
			n.Proxy.SetFaults(standin.ProxyFaults{})
		}
		r.rest(500)
	})
}

// neverReverts checks that no version was accepted twice and that no instance
// was seen with a lower version after a higher one.
func neverReverts(r *run, _ []history.Span) []history.Violation {
	out := r.config.doubled
	if len(r.config.accepted) == 0 {
		out = append(out, history.Violation{Property: history.Configuration, Detail: "no change was accepted, so the run shows nothing"})
	}
	for name, versions := range r.config.seen {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				out = append(out, history.Violation{Property: history.Configuration,
					Detail: fmt.Sprintf("%s went from version %d to %d", name, versions[i-1], versions[i])})
			}
		}
	}
	return out
}
