package demo

import (
	"errors"
	"fmt"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// plan names what the demo uses of a declaration.
type plan struct {
	service  string
	proof    string // an idempotent request kind
	billed   string // a request kind that is not idempotent, if there is one
	render   declaration.BatchJob
	standing declaration.StandingJob
}

// maxProcesses bounds the stand-ins that fit into one process.
const maxProcesses = 300

func newPlan(d *declaration.Deployment) (plan, error) {
	var p plan
	if n := standIns(d); n > maxProcesses {
		return p, fmt.Errorf("demo runs at most %d workers and runners, and %s has %d", maxProcesses, d.Name, n)
	}
	for _, s := range d.Services {
		for _, r := range s.Requests {
			switch {
			case r.Idempotent && p.proof == "":
				p.service, p.proof = s.Name, r.Kind
			case !r.Idempotent && p.service == s.Name && p.billed == "":
				p.billed = r.Kind
			}
		}
	}
	for _, job := range d.BatchJobs {
		if job.Checkpoint {
			p.render = job
			break
		}
	}
	if len(d.StandingJobs) > 0 {
		p.standing = d.StandingJobs[0]
	}
	if p.proof == "" || p.render.Kind == "" || p.standing.Kind == "" {
		return p, errors.New("demo needs an idempotent request kind, a batch job with a checkpoint and a standing job")
	}
	return p, nil
}

func standIns(d *declaration.Deployment) int {
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

func shapes(d *declaration.Deployment) map[string]structs.Resources {
	out := map[string]structs.Resources{}
	for _, s := range d.WorkerShapes {
		out[s.Name] = s.Capacity
	}
	return out
}
