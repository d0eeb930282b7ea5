package declaration

import (
	"encoding/json"
	"errors"
	"maps"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"bergamotstile/proptest"
	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

func init() { proptest.FixSeed() }

func loadExample(t testing.TB, name string) *Deployment {
	t.Helper()
	data, err := os.ReadFile("../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against example files that the checks refuse, and against a decoder
// that stores a value in the wrong field.
func TestExamplesAreAccepted(t *testing.T) {
	runners := map[string]int{"society.json": 50, "lavigne.json": 65}
	for name, want := range runners {
		d := loadExample(t, name)
		if err := d.Check(DefaultLimits()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		got := 0
		for _, group := range d.Services[0].Runners {
			got += group.Count
		}
		if got != want {
			t.Errorf("%s declares %d runners, want %d", name, got, want)
		}
	}
}

// Guards against refusals of valid declarations: a job without a class, and a
// small quota of a team without standing jobs.
func TestCheckAcceptsMissingClassAndSmallQuota(t *testing.T) {
	d := loadExample(t, "society.json")
	d.BatchJobs[0].Class = ""
	d.Teams = append(d.Teams, Team{Name: "small", Quota: structs.Resources{CPUMilli: 1, MemoryMB: 1}, Weight: 1})
	if err := d.Check(DefaultLimits()); err != nil {
		t.Error(err)
	}
}

// Guards against accepting a declaration that cannot be carried out, and against
// problem reports with the path of another field.
func TestCheckNamesInvalidField(t *testing.T) {
	huge := structs.Resources{CPUMilli: 33000, MemoryMB: 1000}
	cases := map[string]struct {
		change func(d *Deployment)
		want   string
	}{
		"empty name":          {func(d *Deployment) { d.Name = "" }, "name: must not be empty"},
		"unsafe name":         {func(d *Deployment) { d.Domains[0].Name = "a/b" }, "domains[0].name: must be"},
		"weights of zero":     {func(d *Deployment) { d.Objective = Objective{} }, "objective: the weights must have a positive sum"},
		"negative weight":     {func(d *Deployment) { d.Objective.Evictions = -1 }, "objective.evictions: must be at least 0"},
		"no shards":           {func(d *Deployment) { d.ShardsPerDomain = 0 }, "shards_per_domain: must be between 1"},
		"no shapes":           {func(d *Deployment) { d.WorkerShapes = nil }, "worker_shapes: must not be empty"},
		"zero capacity":       {func(d *Deployment) { d.WorkerShapes[0].Capacity.MemoryMB = 0 }, "worker_shapes[0].capacity.memory_mb: must be between 1"},
		"negative capacity":   {func(d *Deployment) { d.WorkerShapes[0].Capacity.Accelerators = -1 }, "worker_shapes[0].capacity.accelerators: must be between 0"},
		"huge capacity":       {func(d *Deployment) { d.WorkerShapes[0].Capacity.CPUMilli = 1 << 62 }, "worker_shapes[0].capacity.cpu_milli: must be"},
		"no domains":          {func(d *Deployment) { d.Domains = nil }, "domains: must not be empty"},
		"duplicate domain":    {func(d *Deployment) { d.Domains[1].Name = "ogbomoso" }, `domains[1].name: "ogbomoso" is already declared at domains[0].name`},
		"unknown shape":       {func(d *Deployment) { d.Domains[2].Workers[0].Shape = "x" }, `domains[2].workers[0].shape: worker shape "x" is not declared`},
		"no workers in group": {func(d *Deployment) { d.Domains[0].Workers[0].Count = 0 }, "domains[0].workers[0].count: must be"},
		"rack of zero":        {func(d *Deployment) { d.Domains[0].Workers[0].RackSize = 0 }, "domains[0].workers[0].rack_size: must be"},
		"no slots":            {func(d *Deployment) { d.Services[0].Slots = 0 }, "services[0].slots: must be"},
		"idle slots":          {func(d *Deployment) { d.Services[0].Connections = 7 }, "services[0].connections: must be at least slots (8)"},
		"no runners":          {func(d *Deployment) { d.Services[0].Runners = nil }, "services[0].runners: must not be empty"},
		"negative runners":    {func(d *Deployment) { d.Services[0].Runners[0].Count = -1 }, "services[0].runners[0].count: must be"},
		"unknown domain":      {func(d *Deployment) { d.Services[0].Runners[1].Domain = "x" }, `services[0].runners[1].domain: failure domain "x" is not declared`},
		"domain twice":        {func(d *Deployment) { d.Services[0].Runners[1].Domain = "ogbomoso" }, "services[0].runners[1].domain: \"ogbomoso\" is already declared"},
		"duplicate service":   {func(d *Deployment) { d.Services = append(d.Services, d.Services[0]) }, "services[1].name: \"pathworks\" is already declared"},
		"no requests":         {func(d *Deployment) { d.Services[0].Requests = nil }, "services[0].requests: must not be empty"},
		"duplicate request":   {func(d *Deployment) { d.Services[0].Requests[1].Kind = "proof" }, "services[0].requests[1].kind: \"proof\" is already declared"},
		"unknown class":       {func(d *Deployment) { d.Services[0].Requests[0].Class = "soon" }, "services[0].requests[0].class: must be"},
		"no class":            {func(d *Deployment) { d.Services[0].Requests[0].Class = "" }, "services[0].requests[0].class: must be"},
		"timeout above max":   {func(d *Deployment) { d.Services[0].Requests[1].TimeoutMS = 1501 }, "services[0].requests[1].timeout_ms: must be between 1 and request_timeout_max_ms (1500)"},
		"no timeout":          {func(d *Deployment) { d.Services[0].Requests[1].TimeoutMS = 0 }, "services[0].requests[1].timeout_ms: must be"},
		"unknown team":        {func(d *Deployment) { d.BatchJobs[0].Team = "x" }, `batch_jobs[0].team: team "x" is not declared`},
		"duplicate team":      {func(d *Deployment) { d.Teams[1].Name = "members" }, "teams[1].name: \"members\" is already declared"},
		"team of no weight":   {func(d *Deployment) { d.Teams[0].Weight = 0 }, "teams[0].weight: must be above 0"},
		"quota of zero":       {func(d *Deployment) { d.Teams[0].Quota.CPUMilli = 0 }, "teams[0].quota.cpu_milli: must be between 1"},
		"job above quota":     {func(d *Deployment) { d.Teams[0].Quota.CPUMilli = 7999 }, `batch_jobs[0].size: is above the quota of team "members"`},
		"replicas over quota": {func(d *Deployment) { d.Teams[1].Quota.MemoryMB = 15999 }, "teams[1].quota: is below"},
		"duplicate job":       {func(d *Deployment) { d.BatchJobs = append(d.BatchJobs, d.BatchJobs[0]) }, "batch_jobs[1].kind: \"die-render\" is already declared"},
		"job of size zero":    {func(d *Deployment) { d.BatchJobs[0].Size.CPUMilli = 0 }, "batch_jobs[0].size.cpu_milli: must be between 1"},
		"job fits no worker":  {func(d *Deployment) { d.BatchJobs[0].Size = huge }, "batch_jobs[0].size: fits no declared worker"},
		"shape without workers": {func(d *Deployment) {
			d.WorkerShapes = append(d.WorkerShapes, WorkerShape{"big", huge})
			d.BatchJobs[0].Size = huge
		}, "batch_jobs[0].size: fits no declared worker"},
		"expected above max": {func(d *Deployment) { d.BatchJobs[0].ExpectedRunMS = 7200001 }, "batch_jobs[0].expected_run_ms: must be at most max_run_ms (7200000)"},
		"no run time":        {func(d *Deployment) { d.StandingJobs[0].ExpectedRunMS = 0 }, "standing_jobs[0].expected_run_ms: must be"},
		"no max run time":    {func(d *Deployment) { d.StandingJobs[0].MaxRunMS = -1 }, "standing_jobs[0].max_run_ms: must be"},
		"no replicas":        {func(d *Deployment) { d.StandingJobs[0].Replicas = 0 }, "standing_jobs[0].replicas: must be"},
		"replicas without room": {func(d *Deployment) {
			d.StandingJobs[0].Size.CPUMilli = 17000
			d.StandingJobs[0].Replicas = 51
		}, "standing_jobs[0].replicas: all declared workers together have room for 50, not 51"},
		"standing jobs together": {func(d *Deployment) {
			d.StandingJobs[0].Size.CPUMilli = 32000
			d.StandingJobs[0].Replicas = 30
			d.StandingJobs = append(d.StandingJobs, d.StandingJobs[0])
			d.StandingJobs[1].Kind = "second"
		}, "standing_jobs: all replicas together need"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			d := loadExample(t, "society.json")
			test.change(d)
			err := d.Check(DefaultLimits())
			var e *strictjson.Error
			if !errors.As(err, &e) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

// Guards against a check that stops at the first problem.
func TestCheckReportsAllProblems(t *testing.T) {
	d := loadExample(t, "lavigne.json")
	d.Name = ""
	d.Services[0].Requests[0].TimeoutMS = 0
	d.StandingJobs[0].Team = "nobody"
	var e *strictjson.Error
	if err := d.Check(DefaultLimits()); !errors.As(err, &e) || len(e.Problems) != 3 {
		t.Errorf("got %v", err)
	}
}

func drawDeployment(t *rapid.T, base *Deployment, label string) *Deployment {
	d := *base
	d.ShardsPerDomain = rapid.IntRange(1, 3).Draw(t, label+" shards")
	d.Teams = d.Teams[:rapid.IntRange(0, len(d.Teams)).Draw(t, label+" teams")]
	d.BatchJobs = d.BatchJobs[rapid.IntRange(0, len(d.BatchJobs)).Draw(t, label+" jobs"):]
	d.Domains = rapid.Permutation(d.Domains).Draw(t, label+" order")
	if rapid.Bool().Draw(t, label+" weight") && len(d.Teams) > 0 {
		d.Teams = append([]Team(nil), d.Teams...)
		d.Teams[0].Weight = rapid.Float64Range(0.1, 9).Draw(t, label+" value")
	}
	return &d
}

// Guards against a delta whose application does not yield the target deployment,
// against a delta that contains unchanged entries, and against a digest that
// depends on the order of the lists in a declaration.
func TestApplyOfDiffYieldsTargetDeployment(t *testing.T) {
	base := loadExample(t, "lavigne.json")
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDeployment(t, base, "from").Entries(), drawDeployment(t, base, "to").Entries()
		before := maps.Clone(from)
		delta := Diff(from, to)
		for name, value := range delta.Upserts {
			if string(from[name]) == string(value) {
				t.Fatalf("the delta repeats the entry %s", name)
			}
		}
		got, err := from.Apply(delta)
		if err != nil || !reflect.DeepEqual(got, to) || got.Digest() != to.Digest() {
			t.Fatalf("got %v and %v", got, err)
		}
		if !reflect.DeepEqual(from, before) {
			t.Fatal("Apply modified its receiver")
		}
		d, err := got.Deployment()
		if err != nil || d.Entries().Digest() != to.Digest() {
			t.Fatalf("the entries of the assembled deployment differ: %v", err)
		}
	})
}

// Guards against ignoring the unknown sections and fields of entries that
// another version of the program wrote. An incomplete set of entries and a delete
// of an unknown entry must be refused too.
func TestUnknownAndInvalidEntriesAreRefused(t *testing.T) {
	for name, value := range map[string]string{
		"planets/mars": `{}`, "teams/x": `{"name":"x","quota":{},"weight":1}`, "domains/d": `{"name":"d","colour":1}`,
	} {
		e := loadExample(t, "society.json").Entries()
		e[name] = json.RawMessage(value)
		if _, err := e.Deployment(); err == nil {
			t.Errorf("entry %s is accepted", name)
		}
	}
	if _, err := (Entries{}).Deployment(); err == nil {
		t.Error("a deployment without general entry is accepted")
	}
	if _, err := (Entries{}).Apply(Delta{Deletes: []string{"teams/x"}}); err == nil {
		t.Error("a delete of an unknown entry is accepted")
	}
}

// FuzzDecode guards against panics, and against accepted declarations that
// change on their way through entries or JSON.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"society.json", "lavigne.json"} {
		data, err := os.ReadFile("../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil || d.Check(DefaultLimits()) != nil {
			return
		}
		digest := d.Entries().Digest()
		again, err := d.Entries().Deployment()
		if err != nil || again.Entries().Digest() != digest || again.Check(DefaultLimits()) != nil {
			t.Fatalf("entries of an accepted declaration are refused or differ: %v", err)
		}
		body, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		reread, err := Decode(body)
		if err != nil || reread.Entries().Digest() != digest {
			t.Fatalf("an accepted declaration differs after encoding and decoding: %v", err)
		}
	})
}
