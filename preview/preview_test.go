package preview

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func loadExample(t testing.TB, name string) *declaration.Deployment {
	t.Helper()
	d, err := declaration.Decode(readExample(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func encode(t testing.TB, d *declaration.Deployment) []byte {
	t.Helper()
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// runOn reports on next, compared with current.
func runOn(t testing.TB, current, next *declaration.Deployment) *Report {
	t.Helper()
	return Run(Document{Name: "next", Data: encode(t, next)}, &Document{Name: "current", Data: encode(t, current)}, declaration.DefaultLimits())
}

// Guards against rules that find faults in a sound declaration.
func TestExamplesHaveNoFindings(t *testing.T) {
	for _, name := range []string{"society.json", "lavigne.json"} {
		file := Document{Name: name, Data: readExample(t, name)}
		if r := Run(file, &file, declaration.DefaultLimits()); r.HasFaults() || !r.Compared || len(r.Differences) > 0 {
			t.Errorf("%s", r.Text())
		}
	}
}

// Guards against a preview that accepts a file which an instance refuses, or the reverse,
// and against a preview with other paths than those of the instance's own check.
func TestErrorsAreThoseOfTheCheck(t *testing.T) {
	limits := declaration.DefaultLimits()
	whole := readExample(t, "society.json")
	rapid.Check(t, func(t *rapid.T) {
		data := slices.Clone(whole[:rapid.IntRange(0, len(whole)).Draw(t, "length")])
		if len(data) == len(whole) || rapid.Bool().Draw(t, "whole") {
			data = slices.Clone(whole)
		}
		if len(data) > 0 && rapid.Bool().Draw(t, "edited") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "position")] = rapid.SampledFrom([]byte(`09"{},:a`)).Draw(t, "byte")
		}
		d, err := declaration.Decode(data)
		if err == nil {
			err = d.Check(limits)
		}
		r := Run(Document{Name: "f", Data: data}, nil, limits)
		if (err == nil) != (len(r.Errors) == 0) {
			t.Fatalf("check returns %v, preview %+v", err, r.Errors)
		}
		var lines []string
		for _, p := range r.Errors {
			lines = append(lines, joinNonEmpty(p.Path, p.Detail))
		}
		if err != nil && err.Error() != strings.Join(lines, "\n") {
			t.Fatalf("check returns\n%v\npreview\n%s", err, strings.Join(lines, "\n"))
		}
		if err != nil && len(r.Findings) > 0 {
			t.Fatalf("findings for an invalid declaration: %+v", r.Findings)
		}
	})
}

// drawDeployment returns a variation of base that an instance accepts.
func drawDeployment(t *rapid.T, base *declaration.Deployment, label string) *declaration.Deployment {
	d := *base
	d.Services = d.Services[:rapid.IntRange(0, len(d.Services)).Draw(t, label+" services")]
	d.BatchJobs = slices.Clone(d.BatchJobs[rapid.IntRange(0, len(d.BatchJobs)).Draw(t, label+" batch"):])
	d.StandingJobs = slices.Clone(d.StandingJobs[rapid.IntRange(0, len(d.StandingJobs)).Draw(t, label+" standing"):])
	for i := range d.BatchJobs {
		d.BatchJobs[i].Checkpoint = rapid.Bool().Draw(t, label+" checkpoint")
		d.BatchJobs[i].Class = rapid.SampledFrom([]declaration.ClassName{"", declaration.ClassNormal, declaration.ClassLow}).Draw(t, label+" class")
	}
	for i := range d.StandingJobs {
		d.StandingJobs[i].Replicas = rapid.IntRange(1, 9).Draw(t, label+" replicas")
	}
	d.Teams = slices.Clone(d.Teams)
	d.Teams[0].Weight = float64(rapid.IntRange(1, 3).Draw(t, label+" weight"))
	d.Objective.Evictions = float64(rapid.IntRange(1, 2).Draw(t, label+" objective"))
	d.Domains = rapid.Permutation(d.Domains).Draw(t, label+" order")
	if rapid.Bool().Draw(t, label+" new domain") {
		d.Domains = append(slices.Clone(d.Domains), declaration.Domain{Name: "new"})
	}
	return &d
}

// Guards against a difference that is left out or invented, against one of which nothing
// is said, and against fields of a changed entry that do not show what changed.
func TestDifferencesAreThoseOfTheDelta(t *testing.T) {
	base := loadExample(t, "society.json")
	rapid.Check(t, func(t *rapid.T) {
		current, next := drawDeployment(t, base, "current"), drawDeployment(t, base, "next")
		delta := declaration.Diff(current.Entries(), next.Entries())
		differences := compare(current, next)
		if len(differences) != len(delta.Upserts)+len(delta.Deletes) {
			t.Fatalf("%d differences, the delta has %d and %d", len(differences), len(delta.Upserts), len(delta.Deletes))
		}
		for _, d := range differences {
			_, upsert := delta.Upserts[d.Entry]
			_, existed := current.Entries()[d.Entry]
			want := map[bool]Change{true: ChangeChanged, false: ChangeAdded}[existed]
			if !upsert {
				want = ChangeRemoved
			}
			if d.Change != want || len(d.Effects) == 0 {
				t.Fatalf("want %s with effects, got %+v", want, d)
			}
			if d.Change == ChangeChanged && len(d.Fields) == 0 {
				t.Fatalf("no fields in %+v", d)
			}
		}
	})
}

// Guards against a reordered list that is reported as a change of its items.
func TestReorderedListChangesNothing(t *testing.T) {
	current, next := loadExample(t, "society.json"), loadExample(t, "society.json")
	slices.Reverse(next.Services[0].Requests)
	r := runOn(t, current, next)
	if len(r.Differences) != 1 || len(r.Differences[0].Fields) != 0 || !strings.Contains(r.Differences[0].Effects[0], "Only the order") {
		t.Errorf("%s", r.Text())
	}
}

// Guards against sentences that leave out what a change does to requests and to work that
// is recorded or runs, and against fields that are not named.
func TestEffectsOfChanges(t *testing.T) {
	cases := map[string]struct {
		change      func(d *declaration.Deployment)
		entry, want string
		field       string
	}{
		"name":             {func(d *declaration.Deployment) { d.Name = "x" }, "deployment/general", "only in messages", `name: "society" -> "x"`},
		"objective":        {func(d *declaration.Deployment) { d.Objective.Evictions = 1 }, "deployment/general", "The change itself stops nothing", "objective.evictions: 0.15 -> 1"},
		"capacity":         {func(d *declaration.Deployment) { d.WorkerShapes[0].Capacity.CPUMilli++ }, "worker_shapes/cutter", "422 never_fits", "capacity.cpu_milli: 32000 -> 32001"},
		"workers":          {func(d *declaration.Deployment) { d.Domains[0].Workers[0].Count = 15 }, "domains/ogbomoso", "Running work goes on", "workers[cutter].count: 14 -> 15"},
		"removed service":  {func(d *declaration.Deployment) { d.Services = nil }, "services/pathworks", "404 unknown_service", ""},
		"removed kind":     {func(d *declaration.Deployment) { d.Services[0].Requests = d.Services[0].Requests[:1] }, "services/pathworks", `kind "billed-render" are refused with 404 not_found`, "requests[billed-render]: "},
		"timeout":          {func(d *declaration.Deployment) { d.Services[0].Requests[0].TimeoutMS = 300 }, "services/pathworks", "timeout of 300 ms instead of 400 ms", "requests[proof].timeout_ms: 400 -> 300"},
		"class":            {func(d *declaration.Deployment) { d.Services[0].Requests[0].Class = "low" }, "services/pathworks", "class low instead of urgent", `requests[proof].class: "urgent" -> "low"`},
		"needs keys":       {func(d *declaration.Deployment) { d.Services[0].Requests[0].Idempotent = false }, "services/pathworks", "400 key_required", "requests[proof].idempotent: true -> false"},
		"needs no keys":    {func(d *declaration.Deployment) { d.Services[0].Requests[1].Idempotent = true }, "services/pathworks", "may run again", "requests[billed-render].idempotent: false -> true"},
		"slots":            {func(d *declaration.Deployment) { d.Services[0].Slots = 4 }, "services/pathworks", "no runner is started or stopped", "slots: 8 -> 4"},
		"quota":            {func(d *declaration.Deployment) { d.Teams[0].Quota.CPUMilli = 800000 }, "teams/members", "stops no running work", "quota.cpu_milli: 1200000 -> 800000"},
		"weight":           {func(d *declaration.Deployment) { d.Teams[0].Weight = 2 }, "teams/members", "the new weight", "weight: 3 -> 2"},
		"removed team":     {func(d *declaration.Deployment) { d.Teams, d.StandingJobs = d.Teams[:1], nil }, "teams/stock", "400 unknown_team", ""},
		"removed batch":    {func(d *declaration.Deployment) { d.BatchJobs = nil }, "batch_jobs/die-render", "400 unknown_job", ""},
		"batch run time":   {func(d *declaration.Deployment) { d.BatchJobs[0].MaxRunMS++ }, "batch_jobs/die-render", "409 key_reused", "max_run_ms: 7200000 -> 7200001"},
		"batch size":       {func(d *declaration.Deployment) { d.BatchJobs[0].Size.CPUMilli = 4000 }, "batch_jobs/die-render", "keeps the values of its submit", "size.cpu_milli: 8000 -> 4000"},
		"batch checkpoint": {func(d *declaration.Deployment) { d.BatchJobs[0].Checkpoint = false }, "batch_jobs/die-render", "do not read checkpoint", "checkpoint: true -> false"},
		"batch class left out": {func(d *declaration.Deployment) { d.BatchJobs[0].Class = "" }, "batch_jobs/die-render",
			"class stays the same", `class: "normal" -> none`},
		"batch team":         {func(d *declaration.Deployment) { d.BatchJobs[0].Team = "stock" }, "batch_jobs/die-render", `by team "members" are refused with 400 unknown_job`, `team: "members" -> "stock"`},
		"removed standing":   {func(d *declaration.Deployment) { d.StandingJobs = nil }, "standing_jobs/stock-watch", "running ones are stopped", ""},
		"fewer replicas":     {func(d *declaration.Deployment) { d.StandingJobs[0].Replicas = 5 }, "standing_jobs/stock-watch", "Replicas 5 to 7 are cancelled", "replicas: 8 -> 5"},
		"more replicas":      {func(d *declaration.Deployment) { d.StandingJobs[0].Replicas = 9 }, "standing_jobs/stock-watch", "1 replica more", "replicas: 8 -> 9"},
		"standing size":      {func(d *declaration.Deployment) { d.StandingJobs[0].Size.CPUMilli = 500 }, "standing_jobs/stock-watch", "keep the earlier values", "size.cpu_milli: 1000 -> 500"},
		"standing team":      {func(d *declaration.Deployment) { d.StandingJobs[0].Team = "members" }, "standing_jobs/stock-watch", `8 replicas under team "stock" are cancelled`, `team: "stock" -> "members"`},
		"added domain":       {func(d *declaration.Deployment) { d.Domains = append(d.Domains, declaration.Domain{Name: "new"}) }, "domains/new", "may run again", ""},
		"replicas move":      {func(d *declaration.Deployment) { d.Domains = append(d.Domains, declaration.Domain{Name: "new"}) }, "domains/new", "are not cancelled and go on beside them", ""},
		"removed domain":     {func(d *declaration.Deployment) { d.Domains = d.Domains[:3]; d.Services = nil }, "domains/saki", "400 unknown_domain, submits with 422 never_fits", ""},
		"replicas displaced": {func(d *declaration.Deployment) { d.Domains = d.Domains[:3]; d.Services = nil }, "domains/saki", "get another home", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := loadExample(t, "society.json")
			c.change(next)
			r := runOn(t, loadExample(t, "society.json"), next)
			if !r.Compared {
				t.Fatalf("%s", r.Text())
			}
			i := slices.IndexFunc(r.Differences, func(d Difference) bool { return d.Entry == c.entry })
			if i < 0 {
				t.Fatalf("no difference of %s:\n%s", c.entry, r.Text())
			}
			if text := strings.Join(r.Differences[i].Effects, "\n"); !strings.Contains(text, c.want) {
				t.Errorf("%q is missing in\n%s", c.want, text)
			}
			if fields := r.Differences[i].Fields; (len(fields) > 0) != (c.field != "") {
				t.Errorf("fields %v, want %q", fields, c.field)
			}
			if c.field != "" && !strings.Contains(r.Text(), "           "+c.field) {
				t.Errorf("%q is missing in\n%s", c.field, r.Text())
			}
		})
	}
}

// Guards against replicas that are reported as moved although their home stays, and
// against moved ones that are left out. The expected homes come from the hash that
// instances use.
func TestMovedReplicasAreThoseWithANewHome(t *testing.T) {
	current, next := loadExample(t, "society.json"), loadExample(t, "society.json")
	next.Domains = append(next.Domains, declaration.Domain{Name: "new"})
	moved := newExplainer(current, next).moved
	job := next.StandingJobs[0]
	for n := range job.Replicas {
		id := string(job.ReplicaSpec(n).ID())
		from, to := structs.HomeDomain(id, current.DomainNames()), structs.HomeDomain(id, next.DomainNames())
		isMoved := slices.Contains(moved, movedReplica{job.Kind, n, structs.WorkID(id), from, to})
		if isMoved != (from != to) {
			t.Errorf("replica %d moves from %s to %s, reported: %v", n, from, to, isMoved)
		}
	}
	if len(moved) == 0 {
		t.Error("no replica moves, so the test shows nothing")
	}
}

// Guards against a file that an instance would refuse unread, but that has no error in
// the report.
func TestUnreadFileIsAnError(t *testing.T) {
	r := Run(Document{Name: "f", Err: errors.New("f is larger than an instance accepts")}, nil, declaration.DefaultLimits())
	if len(r.Errors) != 1 || r.Errors[0].File != "f" || !r.HasFaults() {
		t.Errorf("%+v", r)
	}
}

// FuzzRun guards against panics on files that are not declarations, or declare odd but
// valid values.
func FuzzRun(f *testing.F) {
	society, lavigne := readExample(f, "society.json"), readExample(f, "lavigne.json")
	f.Add(society, lavigne)
	f.Add([]byte(""), society)
	f.Add(lavigne, society[:len(society)/2])
	f.Fuzz(func(t *testing.T, next, current []byte) {
		r := Run(Document{Name: "next", Data: next}, &Document{Name: "current", Data: current}, declaration.DefaultLimits())
		if _, err := json.Marshal(r); err != nil || r.Text() == "" {
			t.Fatal(err)
		}
		if r.Compared == (len(r.Errors) > 0) {
			t.Fatalf("compared %v with errors %v", r.Compared, r.Errors)
		}
	})
}
