package declaration

import "bergamotstile/structs"

// QuotaShares returns, by team, the part of the team's quota that a shard of a failure
// domain may use: the domain's fraction of the declared processors, divided by its number
// of shards. A share is never below the size of the team's largest job, which could
// otherwise never start. The shards together can therefore exceed a small quota by the
// size of that job for each shard.
func (d *Deployment) QuotaShares(domain string, shards int) map[string]structs.Resources {
	totalCPU, domainCPU := d.DeclaredCPU(""), d.DeclaredCPU(domain)
	fraction := 1.0
	if totalCPU > 0 {
		fraction = float64(domainCPU) / float64(totalCPU) / float64(max(shards, 1))
	}
	shares := map[string]structs.Resources{}
	for _, t := range d.Teams {
		largest := d.LargestJob(t.Name)
		shares[t.Name] = structs.Resources{
			CPUMilli:     max(int64(float64(t.Quota.CPUMilli)*fraction), largest.CPUMilli),
			MemoryMB:     max(int64(float64(t.Quota.MemoryMB)*fraction), largest.MemoryMB),
			Accelerators: max(int64(float64(t.Quota.Accelerators)*fraction), largest.Accelerators),
		}
	}
	return shares
}

// DeclaredCPU returns the declared capacity of all workers of a domain in thousandths of
// a processor. The domain "" means all domains.
func (d *Deployment) DeclaredCPU(domain string) int64 {
	shapes := map[string]int64{}
	for _, s := range d.WorkerShapes {
		shapes[s.Name] = s.Capacity.CPUMilli
	}
	var sum int64
	for _, declared := range d.Domains {
		if domain != "" && declared.Name != domain {
			continue
		}
		for _, workers := range declared.Workers {
			sum += int64(workers.Count) * shapes[workers.Shape]
		}
	}
	return sum
}

// LargestJob returns, for each resource, the largest amount that any one job of the team
// declares.
func (d *Deployment) LargestJob(team string) structs.Resources {
	var largest structs.Resources
	includeJob := func(owner string, size structs.Resources) {
		if owner != team {
			return
		}
		largest.CPUMilli = max(largest.CPUMilli, size.CPUMilli)
		largest.MemoryMB = max(largest.MemoryMB, size.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, size.Accelerators)
	}
	for _, job := range d.BatchJobs {
		includeJob(job.Team, job.Size)
	}
	for _, job := range d.StandingJobs {
		includeJob(job.Team, job.Size)
	}
	return largest
}

// CountFitting returns how many tasks of a size fit on the declared workers of a failure
// domain, if nothing else runs there.
func (d *Deployment) CountFitting(domain string, size structs.Resources) int64 {
	declared, ok := find(d.Domains, domain, func(s Domain) string { return s.Name })
	if !ok {
		return 0
	}
	return d.countFittingTasksInDomain(declared, size)
}
