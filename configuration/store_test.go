package configuration

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"bergamotstile/peer"
	"bergamotstile/structs"
)

func mustApply(t *testing.T, i *instance, operator string, variant int) uint64 {
	t.Helper()
	version, err := i.apply(operator, 0, variant)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func expectRefusal(t *testing.T, err error, reason structs.Reason, outcome structs.Outcome, detail string) {
	t.Helper()
	if err == nil {
		t.Fatal("accepted")
	}
	r := structs.AsRefusal(err)
	if r.Reason != reason || r.Outcome != outcome || !strings.Contains(r.Detail, detail) {
		t.Errorf("got %v, want %s (%s) with %q", r, reason, outcome, detail)
	}
}

func expectVersions(t *testing.T, c *cluster, want uint64) {
	t.Helper()
	for _, i := range c.instances {
		if got := i.version(); got != want {
			t.Errorf("%s has version %d, want %d", i.name, got, want)
		}
	}
}

// Guards against two winners of one version, and against a refusal that does not name
// the winner.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		mustApply(t, c.instances[0], "first", 1)
		c.instances[1].link.beforeCommit = func() { mustApply(t, c.instances[0], "winner", 2) }
		_, err := c.instances[1].apply("loser", 0, 3)
		expectRefusal(t, err, structs.ReasonVersionConflict, structs.OutcomeNotRun, `lost to version 2 of operator "winner"`)
		if got := c.instances[1].version(); got != 2 {
			t.Errorf("the loser's instance has version %d", got)
		}
	}, "a1", "a2")
}

// Guards against an apply that overwrites a change its operator has not seen.
func TestApplyOnOldBaseIsRefused(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		mustApply(t, c.instances[0], "first", 1)
		mustApply(t, c.instances[0], "second", 2)
		_, err := c.instances[0].apply("late", 1, 3)
		expectRefusal(t, err, structs.ReasonVersionConflict, structs.OutcomeNotRun, `lost to version 2 of operator "second"`)
		_, err = c.instances[0].apply("early", 9, 3)
		expectRefusal(t, err, structs.ReasonVersionConflict, structs.OutcomeNotRun, "base 9 is above version 2")
	}, "a1")
}

// Guards against a response about another version than the one that was read: a push
// raises the version in force after the head is read and before it is used.
func TestApplyWhilePushOvertakesHeadRead(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		mustApply(t, c.instances[0], "first", 1)
		c.instances[0].push()
		c.instances[1].link.afterRead = func() {
			mustApply(t, c.instances[0], "second", 2)
			c.instances[0].push()
		}
		version, err := c.instances[1].apply("third", 1, 2)
		if err != nil || version != 2 {
			t.Errorf("an apply equal to version 2 is answered with version %d and %v", version, err)
		}
	}, "a1", "a2")
}

// Guards against a new version for a repeated apply, such as the retry of an apply whose
// answer the operator did not receive.
func TestIdenticalApplyIsAnsweredWithTheVersionInForce(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		first := mustApply(t, c.instances[0], "operator", 1)
		again, err := c.instances[1].apply("operator", 0, 1)
		if err != nil || again != first || c.table.head().Version != first {
			t.Errorf("got version %d and %v, head %d", again, err, c.table.head().Version)
		}
	}, "a1", "a2")
}

// Guards against a wrong report of a write whose answer was lost.
func TestLostAnswersAreResolvedByReadBack(t *testing.T) {
	cases := map[string][]commitFault{
		"took effect":               {faultAnswerLost},
		"had no effect":             {faultWriteDropped},
		"no effect, then lost":      {faultWriteDropped, faultAnswerLost},
		"late copy after a resend":  {faultWriteDelayed, faultWriteDropped},
		"unavailable after unknown": {faultWriteDropped, faultUnavailable},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				c.instances[0].link.faults = faults
				if got := mustApply(t, c.instances[0], "operator", 1); got != 1 {
					t.Errorf("version %d", got)
				}
				c.instances[0].link.deliverDelayed()
				if got := c.table.head().Version; got != 1 {
					t.Errorf("head is at version %d after the late copy", got)
				}
			}, "a1")
		})
	}
}

// Guards against reporting not_run for a write that takes effect after the instance has
// stopped waiting for it.
func TestUnresolvedWriteMayHaveRun(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		link := c.instances[0].link
		link.faults, link.downAfterFault = []commitFault{faultWriteDelayed}, true
		_, err := c.instances[0].apply("operator", 0, 1)
		expectRefusal(t, err, structs.ReasonWriteUnresolved, structs.OutcomeMayHaveRun, "version 1")
		link.deliverDelayed()
		link.setStatus(false, false)
		c.instances[0].poll()
		expectVersions(t, c, 1)
	}, "a1")
}

// Guards against applies during an outage that are neither executed nor refused.
func TestApplyDuringOutageIsRefused(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		link := c.instances[0].link
		link.setStatus(true, false)
		_, err := c.instances[0].apply("operator", 0, 1)
		expectRefusal(t, err, structs.ReasonStoreUnavailable, structs.OutcomeNotRun, "")
		link.setStatus(false, true)
		_, err = c.instances[0].apply("operator", 0, 1)
		expectRefusal(t, err, structs.ReasonStoreUnavailable, structs.OutcomeNotRun, "")
		link.setStatus(false, false)
		link.faults = []commitFault{faultUnavailable}
		_, err = c.instances[0].apply("operator", 0, 1)
		expectRefusal(t, err, structs.ReasonStoreUnavailable, structs.OutcomeNotRun, "")
		invalidDeployment := testDeployment(1)
		invalidDeployment.Teams[0].Weight = 0
		_, err = c.instances[0].store.Apply(context.Background(), "operator", 0, invalidDeployment)
		expectRefusal(t, err, structs.ReasonDeclarationInvalid, structs.OutcomeNotRun, "teams[0].weight")
		_, err = c.instances[0].store.Apply(context.Background(), " ", 0, testDeployment(1))
		expectRefusal(t, err, structs.ReasonBadRequest, structs.OutcomeNotRun, "operator")
	}, "a1")
}

// Guards against a relay tree that leaves out instances: every instance must receive the
// change by pushes alone, and no instance may send more than fanOut pushes.
func TestPushReachesEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 30 {
			names = append(names, "a"+string(rune('A'+i)))
		}
		c := newCluster(names...)
		mustApply(t, c.instances[7], "operator", 1)
		for range 3 {
			for _, i := range c.instances {
				i.push()
			}
		}
		expectVersions(t, c, 1)
		for _, i := range c.instances {
			if n := i.pushesSent.Load(); n > fanOut {
				t.Errorf("%s sent %d pushes", i.name, n)
			}
		}
	})
}

// Guards against losing a branch of the relay tree whose first instance is dead.
func TestPushSkipsDeadInstance(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		c.instances[1].paused = true
		mustApply(t, c.instances[0], "operator", 1)
		for _, i := range c.instances {
			i.push()
		}
		for _, i := range c.instances {
			if i.version() != 1 && !i.paused {
				t.Errorf("%s has version %d", i.name, i.version())
			}
		}
	}, "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9")
}

// Guards against changes that are applied out of order or undone: an instance that was
// paused during two changes receives them late and out of order.
func TestChangesApplyInOrderAndNeverGoBack(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		paused := c.instances[1]
		mustApply(t, c.instances[0], "first", 1)
		mustApply(t, c.instances[0], "second", 2)
		var pushes []peer.PushRequest
		for _, req := range c.instances[0].store.pushes.Drain(2) {
			req.RelayTo = nil
			pushes = append(pushes, req)
		}
		for _, n := range []int{1, 0, 1, 0} {
			before := paused.version()
			if _, err := paused.store.Push(context.Background(), pushes[n]); err != nil {
				t.Fatal(err)
			}
			if paused.version() < before {
				t.Fatalf("version went from %d to %d", before, paused.version())
			}
		}
		expectVersions(t, c, 2)
		old := c.instances[0].store.current()
		mustApply(t, c.instances[0], "third", 3)
		if err := c.instances[0].store.installSnapshot(old.encodeSnapshot()); err != nil {
			t.Fatal(err)
		}
		if got := c.instances[0].version(); got != 3 {
			t.Errorf("a snapshot of version 2 replaced version 3 by %d", got)
		}
	}, "a1", "a2")
}

// Guards against applying a change to another version than its predecessor. A digest
// check alone might not notice, since all changes here are to the same entry.
func TestChangeAfterGapIsNotInstalled(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		for v := 1; v <= 3; v++ {
			d := testDeployment(1)
			d.Objective.Evictions = float64(v)
			if _, err := c.instances[0].store.Apply(context.Background(), "operator", 0, d); err != nil {
				t.Fatal(err)
			}
		}
		changes := c.instances[0].store.recentChanges
		for _, n := range []int{0, 2} {
			req := peer.PushRequest{Changes: changes[n : n+1]}
			if _, err := c.instances[1].store.Push(context.Background(), req); err != nil {
				t.Fatal(err)
			}
		}
		if got := c.instances[1].version(); got != 1 {
			t.Errorf("version %d is in force without version 2", got)
		}
	}, "a1", "a2")
}

// Guards against a fresh instance that takes the configuration of a stale peer although
// another peer has a newer one, and against one that is synced without a configuration.
func TestFreshInstanceDuringOutageTakesTheHighestVersion(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		mustApply(t, c.instances[0], "first", 1)
		c.instances[0].push()
		mustApply(t, c.instances[2], "second", 2)
		for _, i := range c.instances {
			i.link.setStatus(true, false)
		}
		fresh := c.instances[1]
		fresh.restart()
		c.cutDomains["a"] = true
		isolated := c.instances[3]
		isolated.restart()
		isolated.poll()
		if isolated.store.Synced() {
			t.Error("an instance without table and peers is ready")
		}
		fresh.poll()
		if got := fresh.version(); got != 2 || !fresh.store.Synced() {
			t.Errorf("fresh instance has version %d", got)
		}
	}, "a1", "a2", "a3", "b1")
}

// Guards against a configuration that differs between instances because a change was
// damaged in transfer.
func TestDamagedChangeIsNotInstalled(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		mustApply(t, c.instances[0], "first", 1)
		good, _ := c.table.change(1)
		good.Digest = strings.Repeat("0", 64)
		damaged := peer.ConfigChange{Version: 1, Value: encode(good)}
		for _, invalid := range []peer.ConfigChange{damaged, {Version: 1, Value: []byte("{")}, {Version: 2, Value: encode(good)}} {
			if err := c.instances[1].store.installChange(invalid); err == nil {
				t.Error("installed")
			}
		}
		if got := c.instances[1].version(); got != 0 {
			t.Errorf("version %d is in force", got)
		}
	}, "a1", "a2")
}

// Guards against change rows that accumulate, against rows that are deleted before a
// snapshot includes them, and against instances that cannot start once rows are deleted.
func TestSnapshotsReplaceOldChanges(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		c.cutDomains["b"] = true
		fresh := c.instances[1]
		c.table.objectsDown = true
		for v := 1; v <= 20; v++ {
			if v == 9 {
				fresh.poll()
				expectVersions(t, c, 8)
				fresh.restart()
				c.table.objectsDown = false
			}
			mustApply(t, c.instances[0], "operator", v)
		}
		if got := c.table.head().Snapshot; got != 17 {
			t.Errorf("newest snapshot is %d", got)
		}
		if rows := len(c.table.rows); rows > 1+8+6 {
			t.Errorf("%d rows are left", rows)
		}
		delete(c.table.rows, changeKey(1))
		fresh.poll()
		expectVersions(t, c, 20)
	}, "a1", "b1")
}
