package declaration

import (
	"math"

	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// work is what batch and standing jobs have in common.
type work struct {
	kind, team              string
	class                   ClassName
	size                    structs.Resources
	expectedRunMS, maxRunMS int64
}

func (j BatchJob) work() work {
	return work{j.Kind, j.Team, j.Class, j.Size, j.ExpectedRunMS, j.MaxRunMS}
}

func (j StandingJob) work() work {
	return work{j.Kind, j.Team, j.Class, j.Size, j.ExpectedRunMS, j.MaxRunMS}
}

func (c *checker) checkBatchJobs() {
	seen := map[string]string{}
	for i, job := range c.d.BatchJobs {
		at := strictjson.Index("batch_jobs", i)
		c.checkUnique(seen, at+".kind", job.Kind)
		c.checkWork(at, job.work())
	}
}

// checkStandingJobs compares the replicas with the declared workers. Both
// tests are necessary conditions only: whole replicas of one job on workers
// of their own, and the sum of all jobs against the sum of all workers.
func (c *checker) checkStandingJobs() {
	seen := map[string]string{}
	var sum structs.Resources
	for i, job := range c.d.StandingJobs {
		at := strictjson.Index("standing_jobs", i)
		c.checkUnique(seen, at+".kind", job.Kind)
		c.checkCount(at+".replicas", job.Replicas, maxCount)
		if !c.checkWork(at, job.work()) || job.Replicas < 1 {
			continue
		}
		if room := c.d.room(job.Size); int64(job.Replicas) > room {
			c.Addf(at+".replicas", "all declared workers together have room for %d, not %d", room, job.Replicas)
			continue
		}
		sum = sum.Add(times(job.Size, job.Replicas))
	}
	if total := c.d.totalCapacity(); !sum.Fits(total) {
		c.Addf("standing_jobs", "all replicas together need %+v, above the %+v of all declared workers", sum, total)
	}
}

// checkWork reports whether the work's size is sound and fits a worker.
func (c *checker) checkWork(path string, w work) bool {
	c.checkName(path+".kind", w.kind)
	c.checkClass(path+".class", w.class, true)
	c.checkRunTimes(path, w)
	if !c.checkSize(path+".size", w.size) {
		return false
	}
	c.checkTeamOf(path, w)
	if c.d.room(w.size) == 0 {
		c.Addf(path+".size", "fits no declared worker")
		return false
	}
	return true
}

func (c *checker) checkRunTimes(path string, w work) {
	if w.expectedRunMS < 1 || w.expectedRunMS > maxRunMS {
		c.Addf(path+".expected_run_ms", "must be between 1 and %d, not %d", int64(maxRunMS), w.expectedRunMS)
	}
	if w.maxRunMS < 1 || w.maxRunMS > maxRunMS {
		c.Addf(path+".max_run_ms", "must be between 1 and %d, not %d", int64(maxRunMS), w.maxRunMS)
		return
	}
	if w.expectedRunMS > w.maxRunMS {
		c.Addf(path+".expected_run_ms", "must be at most max_run_ms (%d), not %d", w.maxRunMS, w.expectedRunMS)
	}
}

// checkTeamOf refuses work above its team's whole quota: it could never start.
func (c *checker) checkTeamOf(path string, w work) {
	team, ok := c.d.Team(w.team)
	if !ok {
		c.Addf(path+".team", "team %q is not declared", w.team)
		return
	}
	if !w.size.Fits(team.Quota) {
		c.Addf(path+".size", "is above the quota of team %q, so the work could never start", w.team)
	}
}

func (c *checker) checkTeams() {
	seen := map[string]string{}
	for i, team := range c.d.Teams {
		at := strictjson.Index("teams", i)
		c.checkNewName(seen, at+".name", team.Name)
		if !(team.Weight > 0) || math.IsInf(team.Weight, 0) {
			c.Addf(at+".weight", "must be above 0, not %v", team.Weight)
		}
		if c.checkSize(at+".quota", team.Quota) {
			c.checkStandingQuota(at+".quota", team)
		}
	}
}

// checkStandingQuota refuses a quota below the team's standing jobs, since
// these are all meant to run at the same time.
func (c *checker) checkStandingQuota(path string, team Team) {
	var sum structs.Resources
	for _, job := range c.d.StandingJobs {
		if job.Team == team.Name && job.Replicas <= maxCount && job.Size.Fits(hugeSize) {
			sum = sum.Add(times(job.Size, job.Replicas))
		}
	}
	if !sum.Fits(team.Quota) {
		c.Addf(path, "is below the %+v that the standing jobs of team %q need together", sum, team.Name)
	}
}

// hugeSize is the largest size that passes checkSize.
var hugeSize = structs.Resources{CPUMilli: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}

func times(r structs.Resources, n int) structs.Resources {
	k := int64(n)
	return structs.Resources{CPUMilli: r.CPUMilli * k, MemoryMB: r.MemoryMB * k, Accelerators: r.Accelerators * k}
}

func (d *Deployment) shape(name string) (WorkerShape, bool) {
	return find(d.WorkerShapes, name, func(s WorkerShape) string { return s.Name })
}

func (d *Deployment) hasDomain(name string) bool {
	_, ok := find(d.Domains, name, func(s Domain) string { return s.Name })
	return ok
}

// room returns how many pieces of size fit on all declared workers together.
func (d *Deployment) room(size structs.Resources) int64 {
	var n int64
	for _, domain := range d.Domains {
		n += d.fitsIn(domain, size)
	}
	return n
}

func (d *Deployment) fitsIn(domain Domain, size structs.Resources) int64 {
	var n int64
	for _, group := range domain.Workers {
		if shape, ok := d.shape(group.Shape); ok && sound(group) {
			n += int64(group.Count) * fitsOn(shape.Capacity, size)
		}
	}
	return n
}

// fitsOn returns how many pieces of size fit on one worker.
func fitsOn(capacity, size structs.Resources) int64 {
	n := int64(math.MaxInt32)
	n = min(n, pieces(capacity.CPUMilli, size.CPUMilli))
	n = min(n, pieces(capacity.MemoryMB, size.MemoryMB))
	return min(n, pieces(capacity.Accelerators, size.Accelerators))
}

func pieces(capacity, size int64) int64 {
	if size <= 0 {
		return math.MaxInt32
	}
	return max(capacity, 0) / size
}

func (d *Deployment) totalCapacity() structs.Resources {
	var sum structs.Resources
	for _, domain := range d.Domains {
		for _, group := range domain.Workers {
			if shape, ok := d.shape(group.Shape); ok && sound(group) && shape.Capacity.Fits(hugeSize) {
				sum = sum.Add(times(shape.Capacity, group.Count))
			}
		}
	}
	return sum
}

// sound keeps groups that are refused anyway out of sums.
func sound(g WorkerGroup) bool {
	return g.Count > 0 && g.Count <= maxCount
}
