package entry

import (
	"testing"

	"pgregory.net/rapid"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// resources returns an amount of resources: processors in thousandths of a processor,
// memory in megabytes, and accelerators.
func resources(cpuMilli, memoryMB, accelerators int64) structs.Resources {
	return structs.Resources{CPUMilli: cpuMilli, MemoryMB: memoryMB, Accelerators: accelerators}
}

// testDeployment has large workers, with accelerators, in one failure domain only.
func testDeployment() *declaration.Deployment {
	return &declaration.Deployment{
		ShardsPerDomain: 1,
		WorkerShapes: []declaration.WorkerShape{
			{Name: "small", Capacity: resources(8000, 16000, 0)},
			{Name: "large", Capacity: resources(32000, 64000, 2)},
		},
		Domains: []declaration.Domain{
			{Name: "east", Workers: []declaration.WorkerGroup{{Shape: "small", Count: 4}}},
			{Name: "west", Workers: []declaration.WorkerGroup{{Shape: "large", Count: 1}}},
		},
		Teams: []declaration.Team{
			{Name: "members", Weight: 3, Quota: resources(40000, 80000, 2)},
			{Name: "stock", Weight: 1, Quota: resources(2000, 4000, 0)},
		},
		BatchJobs: []declaration.BatchJob{
			{Kind: "render", Team: "members", Class: declaration.ClassLow, Size: resources(4000, 8000, 0), ExpectedRunMS: 1000, MaxRunMS: 9000},
			{Kind: "carve", Team: "members", Size: resources(4000, 8000, 1), Idempotent: true},
		},
		StandingJobs: []declaration.StandingJob{
			{Kind: "watch", Team: "stock", Class: declaration.ClassLow, Replicas: 2, Size: resources(1000, 2000, 0), Idempotent: true},
		},
	}
}

// Guards against a size, class or time limit that is neither declared nor submitted,
// and against accepting work that can never run.
func TestWorkSpecFollowsDeclaration(t *testing.T) {
	render := callerapi.Submit{Team: "members", Key: "k", Job: "render"}
	cases := []struct {
		name   string
		change func(*callerapi.Submit)
		want   func(*structs.WorkSpec)
		reason structs.Reason
	}{
		{"as declared", func(*callerapi.Submit) {}, func(*structs.WorkSpec) {}, ""},
		{"other class", func(s *callerapi.Submit) { s.Class = declaration.ClassUrgent },
			func(w *structs.WorkSpec) { w.Class = structs.ClassUrgent }, ""},
		{"other size", func(s *callerapi.Submit) { s.Size = resources(1, 1, 0) },
			func(w *structs.WorkSpec) { w.Size = resources(1, 1, 0) }, ""},
		{"other times", func(s *callerapi.Submit) { s.ExpectedRunMS, s.MaxRunMS = 7, 8 },
			func(w *structs.WorkSpec) { w.ExpectedRunMS, w.MaxRunMS = 7, 8 }, ""},
		{"named domain", func(s *callerapi.Submit) { s.Domain = "east" },
			func(w *structs.WorkSpec) { w.Domain = "east" }, ""},
		{"only domain that fits", func(s *callerapi.Submit) { s.Job = "carve" },
			func(w *structs.WorkSpec) {
				*w = structs.WorkSpec{Team: "members", Key: "k", Job: "carve", Kind: structs.KindBatch, Class: structs.ClassNormal,
					Size: resources(4000, 8000, 1), Idempotent: true, Domain: "west"}
			}, ""},
		{"unknown team", func(s *callerapi.Submit) { s.Team = "strangers" }, nil, structs.ReasonUnknownTeam},
		{"unknown job", func(s *callerapi.Submit) { s.Job = "watch" }, nil, structs.ReasonUnknownJob},
		{"job of another team", func(s *callerapi.Submit) { s.Team = "stock" }, nil, structs.ReasonUnknownJob},
		{"above the quota", func(s *callerapi.Submit) { s.Size = resources(40001, 1, 0) }, nil, structs.ReasonOverQuota},
		{"above every worker", func(s *callerapi.Submit) { s.Size = resources(32001, 1, 0) }, nil, structs.ReasonNeverFits},
		{"above the domain's workers", func(s *callerapi.Submit) { s.Job, s.Domain = "carve", "east" }, nil, structs.ReasonNeverFits},
	}
	for _, c := range cases {
		submit := render
		c.change(&submit)
		got, err := workSpec(testDeployment(), submit)
		if c.reason != "" {
			if err == nil || structs.AsRefusal(err).Reason != c.reason || structs.AsRefusal(err).Outcome != structs.OutcomeNotRun {
				t.Errorf("%s: error %v, want %s", c.name, err, c.reason)
			}
			continue
		}
		want := structs.WorkSpec{Team: "members", Key: "k", Job: "render", Kind: structs.KindBatch, Class: structs.ClassLow,
			Size: resources(4000, 8000, 0), ExpectedRunMS: 1000, MaxRunMS: 9000}
		c.want(&want)
		if err != nil || got.ID() != want.ID() || !sameSpec(got, want) {
			t.Errorf("%s: got %+v, %v, want %+v", c.name, got, err, want)
		}
	}
}

// sameSpec reports whether two specs agree in the fields that the cases of
// TestWorkSpecFollowsDeclaration set.
func sameSpec(a, b structs.WorkSpec) bool {
	return a.Team == b.Team && a.Key == b.Key && a.Job == b.Job && a.Kind == b.Kind && a.Class == b.Class && a.Size == b.Size &&
		a.ExpectedRunMS == b.ExpectedRunMS && a.MaxRunMS == b.MaxRunMS && a.Idempotent == b.Idempotent && a.Domain == b.Domain
}

// Guards against shares that together exceed a quota by more than the team's largest
// job in each shard of each domain, and against shares too small for that job.
func TestTeamSharesStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := testDeployment()
		shards := rapid.IntRange(1, 4).Draw(t, "shards")
		for i := range d.Domains {
			d.Domains[i].Workers[0].Count = rapid.IntRange(0, 20).Draw(t, "workers")
		}
		d.Teams[0].Quota.CPUMilli = rapid.Int64Range(4000, 1_000_000).Draw(t, "quota")
		sum := map[string]int64{}
		for _, domain := range d.DomainNames() {
			for name, share := range teamShares(d, domain, shards) {
				if !d.LargestJob(name).Fits(share.Limit) {
					t.Fatalf("share %+v of %s in %s holds none of its jobs", share, name, domain)
				}
				sum[name] += share.Limit.CPUMilli * int64(shards)
			}
		}
		for _, team := range d.Teams {
			slack := d.LargestJob(team.Name).CPUMilli * int64(shards*len(d.Domains))
			if d.DeclaredCPU("") > 0 && sum[team.Name] > team.Quota.CPUMilli+slack {
				t.Fatalf("shares of %s sum to %d, the quota is %d", team.Name, sum[team.Name], team.Quota.CPUMilli)
			}
		}
	})
}

// Guards against shares that do not follow the domain's fraction of the capacity.
func TestTeamSharesFollowCapacity(t *testing.T) {
	for domain, want := range map[string]structs.Resources{"east": resources(20000, 40000, 1), "west": resources(20000, 40000, 1)} {
		if got := teamShares(testDeployment(), domain, 1)["members"]; got.Limit != want || got.Weight != 3 {
			t.Errorf("%s: share %+v, want %+v", domain, got, want)
		}
	}
	if got := teamShares(testDeployment(), "east", 2)["members"].Limit; got != resources(10000, 20000, 1) {
		t.Errorf("share of one of two shards is %+v", got)
	}
}

// Guards against an apply that changes the number of shards, after which no instance
// would find the recorded work.
func TestShardCountCannotChange(t *testing.T) {
	withShards := func(n int) *declaration.Deployment { return &declaration.Deployment{ShardsPerDomain: n} }
	cases := []struct {
		current, next *declaration.Deployment
		refused       bool
	}{
		{nil, withShards(4), false}, {withShards(4), withShards(4), false}, {withShards(0), withShards(1), false}, {withShards(1), withShards(0), false},
		{withShards(1), withShards(2), true}, {withShards(2), withShards(0), true},
	}
	for _, c := range cases {
		err := checkShardCount(c.current, c.next)
		if (err != nil) != c.refused {
			t.Errorf("from %+v to %+v: %v", c.current, c.next, err)
		}
		if err != nil && structs.AsRefusal(err).Reason != structs.ReasonDeclarationInvalid {
			t.Errorf("reason %v", err)
		}
	}
}

// Guards against replicas that share a row, and against IDs of one replica that differ
// between instances.
func TestReplicaIDsAreStableAndDistinct(t *testing.T) {
	job := testDeployment().StandingJobs[0]
	seen := map[structs.WorkID]bool{}
	for replica := range 3 {
		spec := job.ReplicaSpec(replica)
		if seen[spec.ID()] || spec.ID() != job.ReplicaSpec(replica).ID() {
			t.Errorf("replica %d has ID %s", replica, spec.ID())
		}
		seen[spec.ID()] = true
		if spec.Kind != structs.KindStanding || spec.Class != structs.ClassLow || spec.Size != job.Size || !spec.Idempotent {
			t.Errorf("replica %d: %+v", replica, spec)
		}
	}
	other := job
	other.Kind = "watch2"
	if seen[other.ReplicaSpec(0).ID()] {
		t.Error("replicas of different jobs share an ID")
	}
}
