package demo

import (
	"errors"
	"fmt"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// plan names what the demo uses of a declaration.
type plan struct {
	service     string
	proofKind   string // an idempotent request kind
	billedKind  string // a request kind that is not idempotent, if there is one
	renderJob   declaration.BatchJob
	standingJob declaration.StandingJob
}

// maxStandIns bounds the stand-ins that fit into one process.
const maxStandIns = 300

func newPlan(d *declaration.Deployment) (plan, error) {
	var p plan
	if n := countStandIns(d); n > maxStandIns {
		return p, fmt.Errorf("demo runs at most %d workers and runners, and %s has %d", maxStandIns, d.Name, n)
	}
	for _, s := range d.Services {
		for _, r := range s.Requests {
			switch {
			case r.Idempotent && p.proofKind == "":
				p.service, p.proofKind = s.Name, r.Kind
			case !r.Idempotent && p.service == s.Name && p.billedKind == "":
				p.billedKind = r.Kind
			}
		}
	}
	for _, job := range d.BatchJobs {
		if job.Checkpoint {
			p.renderJob = job
			break
		}
	}
	if len(d.StandingJobs) > 0 {
		p.standingJob = d.StandingJobs[0]
	}
	if p.proofKind == "" || p.renderJob.Kind == "" || p.standingJob.Kind == "" {
		return p, errors.New("demo needs an idempotent request kind, a batch job with a checkpoint and a standing job")
	}
	return p, nil
}

func countStandIns(d *declaration.Deployment) int {
	n := 0
	for _, domain := range d.Domains {
		for _, group := range domain.Workers {
			n += group.Count
		}
	}
	for _, s := range d.Services {
		for _, group := range s.Runners {
			n += group.Count
		}
	}
	return n
}

func capacityByShape(d *declaration.Deployment) map[string]structs.Resources {
	capacities := map[string]structs.Resources{}
	for _, s := range d.WorkerShapes {
		capacities[s.Name] = s.Capacity
	}
	return capacities
}
