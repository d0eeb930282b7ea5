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

// configHistory records which versions of the configuration were accepted, with the
// operator who applied each, and the versions that each entry instance reported, in
// order. A version that was accepted twice is recorded in duplicates.
type configHistory struct {
	mu          sync.Mutex
	accepted    map[uint64]string
	duplicates  []history.Violation
	observed    map[string][]uint64
	changeCount int
}

// nextChangeNumber returns a number that no other change has, so that each apply is
// a real change. An apply of the declaration in force would return the version in
// force instead of a new one.
func (h *configHistory) nextChangeNumber() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changeCount++
	return h.changeCount
}

func (h *configHistory) recordAccepted(version uint64, operator string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.accepted == nil {
		h.accepted = map[uint64]string{}
	}
	if other, ok := h.accepted[version]; ok {
		h.duplicates = append(h.duplicates, history.Violation{Property: history.Configuration,
			Detail: fmt.Sprintf("version %d was accepted from %s and from %s", version, other, operator)})
	}
	h.accepted[version] = operator
}

func (h *configHistory) recordObserved(instance string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observed == nil {
		h.observed = map[string][]uint64{}
	}
	h.observed[instance] = append(h.observed[instance], version)
}

// watchVersions polls all entry instances and records the versions that they report,
// until stop is closed. The returned group is done when all polling has ended.
func (r *testRun) watchVersions(stop chan struct{}) *sync.WaitGroup {
	var watchers sync.WaitGroup
	for _, n := range r.Entries {
		watchers.Go(func() {
			for {
				if status, err := r.Status(n); err == nil && status.ConfigVersion > 0 {
					r.config.recordObserved(n.Name, status.ConfigVersion)
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return &watchers
}

// changedDeployment returns the deployment with a team weight that depends on number,
// so that declarations with different numbers differ.
func (r *testRun) changedDeployment(number int) *declaration.Deployment {
	deployment := r.Deployment()
	deployment.Teams[0].Weight = float64(1 + number)
	return deployment
}

// applyConcurrently lets two operators apply changes at the same time. Each operator
// uses its own entry instance and bases each change on the version that this instance
// reports.
func (r *testRun) applyConcurrently(rounds int) {
	var operators sync.WaitGroup
	for i := range 2 {
		entry := r.Entries[i%len(r.Entries)]
		operators.Go(func() {
			operator := fmt.Sprintf("operator-%d", i)
			for range rounds {
				status, err := r.Status(entry)
				if err != nil {
					continue
				}
				version, refusal := r.Apply(r.load.callContext, entry, operator, status.ConfigVersion, r.changedDeployment(r.config.nextChangeNumber()))
				if refusal == nil {
					r.config.recordAccepted(version, operator)
				}
			}
		})
	}
	operators.Wait()
}

// watchVersionsDuring records the versions that all entry instances report while
// action runs, and until the last accepted version is in force on all of them.
func (r *testRun) watchVersionsDuring(t *testing.T, action func()) {
	stop := make(chan struct{})
	watchers := r.watchVersions(stop)
	action()
	r.awaitLastVersion(t)
	close(stop)
	watchers.Wait()
}

func (r *testRun) awaitLastVersion(t *testing.T) {
	lastVersion := uint64(0)
	for version := range r.config.accepted {
		lastVersion = max(lastVersion, version)
	}
	deadline := time.Now().Add(settleTimeout)
	for _, n := range r.Entries {
		for {
			status, err := r.Status(n)
			if err == nil && status.ConfigVersion >= lastVersion {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s has version %d, want %d (error %v)\n%s", n.Name, status.ConfigVersion, lastVersion, err, r.Logs(4000))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func operatorsRace(t *testing.T, r *testRun) {
	r.watchVersionsDuring(t, func() {
		r.setPlatformFaults(t, standin.PlatformFaults{Table: standin.ComponentFaults{LoseAnswer: standin.FaultTrigger{Probability: 0.2}}})
		r.applyConcurrently(15)
		r.setPlatformFaults(t, standin.PlatformFaults{})
		r.applyConcurrently(10)
	})
}

// frozenThroughChanges freezes an entry instance while two operators apply changes, and
// lets it continue while they apply more.
func frozenThroughChanges(t *testing.T, r *testRun) {
	r.watchVersionsDuring(t, func() {
		victim := r.Entries[len(r.Entries)-1]
		victim.Freeze()
		r.applyConcurrently(2)
		victim.Resume()
		r.applyConcurrently(2)
	})
}

// domainCut cuts the second failure domain off from the platform and from its peers
// while operators apply changes, and ends the cut later. Depending on the seed, it also
// restarts an entry instance of the domain during the cut.
func domainCut(t *testing.T, r *testRun) {
	r.watchVersionsDuring(t, func() {
		var cutEntries []*harness.Node
		for _, n := range r.Entries {
			if n.Domain == r.Options.Domains[1].Name {
				cutEntries = append(cutEntries, n)
			}
		}
		r.sleepAbout(500)
		for _, n := range cutEntries {
			n.PlatformProxy.SetFaults(cutBothWays)
			n.Proxy.SetFaults(cutBothWays)
		}
		r.applyConcurrently(2)
		if r.random.IntN(2) == 0 {
			cutEntries[0].Kill()
			r.noError(t, r.Restart(cutEntries[0]))
		}
		r.sleepAbout(2000)
		for _, n := range cutEntries {
			n.PlatformProxy.SetFaults(standin.ProxyFaults{})
			n.Proxy.SetFaults(standin.ProxyFaults{})
		}
		r.sleepAbout(500)
	})
}

// checkVersionsNeverRevert checks that no version was accepted twice and that no entry
// instance reported a lower version after a higher one.
func checkVersionsNeverRevert(r *testRun, _ []history.Run) []history.Violation {
	violations := r.config.duplicates
	if len(r.config.accepted) == 0 {
		violations = append(violations, history.Violation{Property: history.Configuration, Detail: "no change was accepted, so the run checks nothing"})
	}
	for name, versions := range r.config.observed {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				violations = append(violations, history.Violation{Property: history.Configuration,
					Detail: fmt.Sprintf("%s went from version %d to %d", name, versions[i-1], versions[i])})
			}
		}
	}
	return violations
}
