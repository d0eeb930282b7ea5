package entry

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/preview"
	"bergamotstile/quota"
	"bergamotstile/structs"
)

// validDeployment is testDeployment with what an apply requires.
func validDeployment() *declaration.Deployment {
	d := testDeployment()
	d.Name, d.Objective.TailLatency = "n", 1
	for i := range d.Domains {
		d.Domains[i].Workers[0].RackSize = 1
	}
	d.BatchJobs[1].ExpectedRunMS, d.BatchJobs[1].MaxRunMS = 1000, 9000
	d.StandingJobs[0].ExpectedRunMS, d.StandingJobs[0].MaxRunMS = 100_000, 200_000
	return d
}

// previewEffects returns what a preview says about one entry of next.
func previewEffects(t *testing.T, next *declaration.Deployment, entry string) string {
	t.Helper()
	var documents []preview.Document
	for _, d := range []*declaration.Deployment{validDeployment(), next} {
		data, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		documents = append(documents, preview.Document{Data: data})
	}
	report := preview.Run(documents[1], &documents[0], declaration.DefaultLimits())
	i := slices.IndexFunc(report.Differences, func(d preview.Difference) bool { return d.Entry == entry })
	if i < 0 {
		t.Fatalf("no difference of %s: %s", entry, report.Text())
	}
	return strings.Join(report.Differences[i].Effects, "\n")
}

// Guards against a preview that names another refusal of submits than an instance gives
// once the version is in force.
func TestPreviewNamesTheRefusalsOfSubmits(t *testing.T) {
	cases := []struct {
		entry  string
		change func(*declaration.Deployment)
		submit callerapi.Submit
		want   structs.Reason
	}{
		{"teams/members", func(d *declaration.Deployment) { d.Teams, d.BatchJobs = d.Teams[1:], nil },
			callerapi.Submit{Team: "members", Key: "k", Job: "render"}, structs.ReasonUnknownTeam},
		{"batch_jobs/render", func(d *declaration.Deployment) { d.BatchJobs = d.BatchJobs[1:] },
			callerapi.Submit{Team: "members", Key: "k", Job: "render"}, structs.ReasonUnknownJob},
		{"batch_jobs/render", func(d *declaration.Deployment) { d.BatchJobs[0].Team, d.Teams[1].Quota = "stock", d.Teams[0].Quota },
			callerapi.Submit{Team: "members", Key: "k", Job: "render"}, structs.ReasonUnknownJob},
		{"teams/members", func(d *declaration.Deployment) { d.Teams[0].Quota = resources(8000, 16000, 2) },
			callerapi.Submit{Team: "members", Key: "k", Job: "render", Size: resources(8001, 1, 0)}, structs.ReasonOverQuota},
		{"domains/east", func(d *declaration.Deployment) { d.Domains = d.Domains[1:] },
			callerapi.Submit{Team: "members", Key: "k", Job: "render", Domain: "east"}, structs.ReasonNeverFits},
	}
	for _, c := range cases {
		if _, err := workSpec(validDeployment(), c.submit); err != nil {
			t.Errorf("%s: refused before the change: %v", c.entry, err)
		}
		next := validDeployment()
		c.change(next)
		_, err := workSpec(next, c.submit)
		if err == nil || structs.AsRefusal(err).Reason != c.want {
			t.Errorf("%s: an instance answers %v, want %s", c.entry, err, c.want)
		}
		if effects := previewEffects(t, next, c.entry); !strings.Contains(effects, " "+string(c.want)) {
			t.Errorf("%s: %s is not named in\n%s", c.entry, c.want, effects)
		}
	}
}

// Guards against a preview that says something else about the quota of work that is left
// over than the shares which an instance passes to the policy.
func TestPreviewTellsTheShareOfRemovedTeamsAndDomains(t *testing.T) {
	next := validDeployment()
	next.Teams, next.BatchJobs = next.Teams[1:], nil
	if share, ok := teamShares(next, "east", 1)["members"]; ok || !share.Allows(resources(1<<40, 1<<40, 9), resources(1, 1, 1)) {
		t.Errorf("the removed team has the share %+v", share)
	}
	if effects := previewEffects(t, next, "teams/members"); !strings.Contains(effects, "no longer limited by a quota") {
		t.Errorf("%s", effects)
	}
	next = validDeployment()
	next.Domains = next.Domains[1:]
	if got, want := teamShares(next, "east", 1)["members"], (quota.Team{Weight: 3, Limit: next.LargestJob("members")}); got != want {
		t.Errorf("share in the removed domain is %+v, want %+v", got, want)
	}
	if effects := previewEffects(t, next, "domains/east"); !strings.Contains(effects, "within the size of its team's largest job") {
		t.Errorf("%s", effects)
	}
}
