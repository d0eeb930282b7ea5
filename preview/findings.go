package preview

import (
	"fmt"
	"strings"

	"bergamotstile/declaration"
	"bergamotstile/lifecycle"
	"bergamotstile/routing"
	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// Rule is the name of a check. The names are stable.
type Rule string

// The rules for entries that have no effect or can never be used.
const (
	RuleUnusedShape          Rule = "unused-shape"
	RuleUnusedWorkers        Rule = "unused-workers"
	RuleUnusedAccelerators   Rule = "unused-accelerators"
	RuleUnusedTeam           Rule = "unused-team"
	RuleEmptyDomain          Rule = "empty-domain"
	RuleDomainWithoutRunners Rule = "domain-without-runners"
	RuleShardWithoutRunners  Rule = "shard-without-runners"
	RuleShardWithoutWorkers  Rule = "shard-without-workers"
	RuleReplicasWithoutRoom  Rule = "replicas-without-room"
	RuleSharedKind           Rule = "shared-kind"
)

// The rules for limits that contradict each other.
const (
	RuleReplicasAboveShare   Rule = "replicas-above-share"
	RuleBatchBehindStanding  Rule = "batch-behind-standing"
	RuleQuotaNotHeld         Rule = "quota-not-held"
	RuleQuotaNotLimited      Rule = "quota-not-limited"
	RuleTimeoutWithoutRepeat Rule = "timeout-without-repeat"
	RuleRunBelowRestart      Rule = "run-below-restart"
)

// Rules returns the names of all rules.
func Rules() []Rule {
	return []Rule{
		RuleUnusedShape, RuleUnusedWorkers, RuleUnusedAccelerators, RuleUnusedTeam, RuleEmptyDomain,
		RuleDomainWithoutRunners, RuleShardWithoutRunners, RuleShardWithoutWorkers, RuleReplicasWithoutRoom,
		RuleSharedKind, RuleReplicasAboveShare, RuleBatchBehindStanding, RuleQuotaNotHeld,
		RuleQuotaNotLimited, RuleTimeoutWithoutRepeat, RuleRunBelowRestart,
	}
}

// finder checks a valid deployment and collects the findings.
type finder struct {
	deployment *declaration.Deployment
	// shards is the number of shards of each failure domain.
	shards int
	// replicas holds the replicas of each standing job.
	replicas [][]replica
	// replicaUse holds the size of all replicas of a team that have their home in a shard.
	replicaUse map[teamShard]structs.Resources
	// shares holds the share of each team's quota in one shard, by failure domain.
	shares   map[string]map[string]structs.Resources
	findings []Finding
}

// teamShard is a team in one shard.
type teamShard struct {
	team  string
	shard structs.ShardID
}

// replica is one replica of a standing job, with the shard in which it is recorded.
type replica struct {
	number int
	id     structs.WorkID
	home   structs.ShardID
}

// findFaults returns the findings for a deployment that has passed its check.
func findFaults(d *declaration.Deployment) []Finding {
	f := newFinder(d)
	f.checkShapes()
	f.checkDomains()
	f.checkServices()
	f.checkTeams()
	f.checkBatchJobs()
	f.checkStandingJobs()
	return f.findings
}

func newFinder(d *declaration.Deployment) *finder {
	f := &finder{
		deployment: d, shards: max(d.ShardsPerDomain, 1), replicas: homeReplicas(d),
		replicaUse: map[teamShard]structs.Resources{}, shares: map[string]map[string]structs.Resources{},
	}
	for i, job := range d.StandingJobs {
		for _, r := range f.replicas[i] {
			key := teamShard{job.Team, r.home}
			f.replicaUse[key] = f.replicaUse[key].Add(job.Size)
		}
	}
	for _, domain := range d.DomainNames() {
		f.shares[domain] = d.QuotaShares(domain, f.shards)
	}
	return f
}

// homeReplicas returns the replicas of each standing job with their home shards.
func homeReplicas(d *declaration.Deployment) [][]replica {
	domains := d.DomainNames()
	all := make([][]replica, len(d.StandingJobs))
	for i, job := range d.StandingJobs {
		for n := range job.Replicas {
			id := job.ReplicaSpec(n).ID()
			domain := structs.HomeDomain(string(id), domains)
			all[i] = append(all[i], replica{n, id, structs.ShardOf(domain, string(id), d.ShardsPerDomain)})
		}
	}
	return all
}

func (f *finder) addf(rule Rule, path, format string, args ...any) {
	f.findings = append(f.findings, Finding{Path: path, Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (f *finder) checkShapes() {
	used := map[string]bool{}
	for _, domain := range f.deployment.Domains {
		for _, group := range domain.Workers {
			used[group.Shape] = true
		}
	}
	for i, shape := range f.deployment.WorkerShapes {
		if !used[shape.Name] {
			f.addf(RuleUnusedShape, strictjson.ItemPath("worker_shapes", i), "no failure domain has workers of shape %q", shape.Name)
		}
	}
}

func (f *finder) checkDomains() {
	for i, domain := range f.deployment.Domains {
		path := strictjson.ItemPath("domains", i)
		workers, hasRunners := countWorkers(domain), f.hasRunners(domain.Name)
		switch {
		case workers == 0 && !hasRunners:
			f.addf(RuleEmptyDomain, path, "failure domain %q has neither workers nor runners, but is the home of a part of the keys", domain.Name)
		case workers > 0 && workers < f.shards:
			f.addf(RuleShardWithoutWorkers, path+".workers",
				"%s for %s: a shard without a worker never starts its work", plural(workers, "worker"), plural(f.shards, "shard"))
		}
		if hasRunners {
			continue
		}
		for j, group := range domain.Workers {
			if !f.fitsAnyJob(group.Shape) {
				f.addf(RuleUnusedWorkers, strictjson.ItemPath(path+".workers", j),
					"no declared job fits on shape %q, and no service has runners in failure domain %q", group.Shape, domain.Name)
			}
		}
	}
}

func countWorkers(d declaration.Domain) int {
	workers := 0
	for _, group := range d.Workers {
		workers += group.Count
	}
	return workers
}

func (f *finder) hasRunners(domain string) bool {
	for _, service := range f.deployment.Services {
		if countRunners(service, domain) > 0 {
			return true
		}
	}
	return false
}

func countRunners(s declaration.Service, domain string) int {
	for _, group := range s.Runners {
		if group.Domain == domain {
			return group.Count
		}
	}
	return 0
}

// fitsAnyJob reports whether a declared job fits on a worker of the shape.
func (f *finder) fitsAnyJob(shape string) bool {
	var capacity structs.Resources
	for _, s := range f.deployment.WorkerShapes {
		if s.Name == shape {
			capacity = s.Capacity
		}
	}
	for _, job := range f.deployment.BatchJobs {
		if job.Size.Fits(capacity) {
			return true
		}
	}
	for _, job := range f.deployment.StandingJobs {
		if job.Size.Fits(capacity) {
			return true
		}
	}
	return false
}

func (f *finder) checkServices() {
	for i, service := range f.deployment.Services {
		path := strictjson.ItemPath("services", i)
		if kind, ok := firstNonIdempotent(service); ok {
			f.checkHomesHaveRunners(path, service, kind)
		}
		for j, request := range service.Requests {
			f.checkClaimTimeout(strictjson.ItemPath(path+".requests", j), request)
		}
	}
}

// firstNonIdempotent returns the first kind of request that needs a key.
func firstNonIdempotent(s declaration.Service) (string, bool) {
	for _, request := range s.Requests {
		if !request.Idempotent {
			return request.Kind, true
		}
	}
	return "", false
}

// checkHomesHaveRunners checks that each home of a key has runners of the service. A
// request with a key is dispatched only in the shard that is the key's home.
func (f *finder) checkHomesHaveRunners(path string, s declaration.Service, kind string) {
	for _, domain := range f.deployment.DomainNames() {
		if countRunners(s, domain) == 0 {
			f.addf(RuleDomainWithoutRunners, path+".runners",
				"none in failure domain %q: requests with a key whose home is there are refused with %s, and %q always needs a key",
				domain, refusalName(structs.ReasonNoRunner), kind)
		}
	}
	for j, group := range s.Runners {
		if group.Count < f.shards {
			f.addf(RuleShardWithoutRunners, strictjson.ItemPath(path+".runners", j)+".count",
				"%s for %s of failure domain %q: requests with a key whose home is a shard without a runner are refused with %s, and %q always needs a key",
				plural(group.Count, "runner"), plural(f.shards, "shard"), group.Domain, refusalName(structs.ReasonNoRunner), kind)
		}
	}
}

// checkClaimTimeout checks that a failed write of a claim can be repeated within the
// timeout. A request that is not idempotent is dispatched only after its claim is written.
func (f *finder) checkClaimTimeout(path string, r declaration.RequestKind) {
	pause := routing.DefaultMinClaimRetryPause.Milliseconds()
	if !r.Idempotent && r.TimeoutMS <= pause {
		f.addf(RuleTimeoutWithoutRepeat, path+".timeout_ms",
			"%d ms leave no time to repeat the write of a claim, which a request of a kind that is not idempotent waits for: the first repeat comes after %d ms",
			r.TimeoutMS, pause)
	}
}

func (f *finder) checkTeams() {
	for i, team := range f.deployment.Teams {
		path := strictjson.ItemPath("teams", i)
		if !f.hasJobs(team.Name) {
			f.addf(RuleUnusedTeam, path, "no batch or standing job belongs to team %q, so it can submit nothing and its quota limits nothing", team.Name)
			continue
		}
		f.checkQuota(path+".quota", team)
	}
}

func (f *finder) hasJobs(team string) bool {
	for _, job := range f.deployment.BatchJobs {
		if job.Team == team {
			return true
		}
	}
	return f.hasStandingJobs(team)
}

func (f *finder) hasStandingJobs(team string) bool {
	for _, job := range f.deployment.StandingJobs {
		if job.Team == team {
			return true
		}
	}
	return false
}

// checkQuota compares a team's quota with the shares of it that instances apply in each
// shard.
func (f *finder) checkQuota(path string, team declaration.Team) {
	if team.Quota.Accelerators > 0 && !f.hasAccelerators("") {
		f.addf(RuleUnusedAccelerators, path+".accelerators", "is %d, but no declared worker has accelerators", team.Quota.Accelerators)
	}
	var sum structs.Resources
	for _, domain := range f.deployment.Domains {
		if countWorkers(domain) == 0 {
			continue
		}
		share := f.shares[domain.Name][team.Name]
		for range f.shards {
			sum = sum.Add(share)
		}
		if team.Quota.Accelerators > 0 && share.Accelerators == 0 && f.hasAccelerators(domain.Name) {
			f.addf(RuleQuotaNotLimited, path+".accelerators",
				"the share of a shard of failure domain %q rounds to 0, which stands for no limit", domain.Name)
		}
		f.checkReplicaShare(path, team, domain.Name, share)
	}
	if !sum.Fits(team.Quota) {
		f.addf(RuleQuotaNotHeld, path, "is not held: each shard may use the size of the team's largest job, so all shards together may use %s, above %s",
			describe(sum), describe(team.Quota))
	}
}

func (f *finder) hasAccelerators(domain string) bool {
	one := structs.Resources{Accelerators: 1}
	for _, name := range f.deployment.DomainsFitting(one) {
		if domain == "" || name == domain {
			return true
		}
	}
	return false
}

// checkReplicaShare checks that the replicas that are recorded in each shard of a domain
// fit into the team's share there.
func (f *finder) checkReplicaShare(path string, team declaration.Team, domain string, share structs.Resources) {
	for index := range f.shards {
		shard := structs.ShardID{Domain: domain, Index: index}
		if used := f.replicaUse[teamShard{team.Name, shard}]; !used.Fits(limitOf(share, used)) {
			f.addf(RuleReplicasAboveShare, path, "the share of shard %s is %s, below the %s of the replicas whose home it is, so some of them never start",
				shard, describe(share), describe(used))
		}
	}
}

// limitOf returns the limit that a share sets: a share of zero does not limit a resource.
func limitOf(share, used structs.Resources) structs.Resources {
	if share.Accelerators == 0 {
		share.Accelerators = used.Accelerators
	}
	return share
}

// checkBatchJobs checks that each batch job fits into its team's share beside the team's
// standing jobs, in at least one shard of a domain with workers that are large enough.
func (f *finder) checkBatchJobs() {
	for i, job := range f.deployment.BatchJobs {
		if f.hasStandingJobs(job.Team) && !f.fitsBesideReplicas(job) {
			f.addf(RuleBatchBehindStanding, strictjson.ItemPath("batch_jobs", i)+".size",
				"%s do not fit into the share of team %q in any shard while the replicas of its standing jobs run there", describe(job.Size), job.Team)
		}
	}
}

func (f *finder) fitsBesideReplicas(job declaration.BatchJob) bool {
	for _, domain := range f.deployment.DomainsFitting(job.Size) {
		share := f.shares[domain][job.Team]
		for index := range f.shards {
			sum := f.replicaUse[teamShard{job.Team, structs.ShardID{Domain: domain, Index: index}}].Add(job.Size)
			if sum.Fits(limitOf(share, sum)) {
				return true
			}
		}
	}
	return false
}

func (f *finder) checkStandingJobs() {
	batchPaths := map[string]string{}
	for i, job := range f.deployment.BatchJobs {
		batchPaths[job.Kind] = strictjson.ItemPath("batch_jobs", i)
	}
	for i, job := range f.deployment.StandingJobs {
		path := strictjson.ItemPath("standing_jobs", i)
		if batch, ok := batchPaths[job.Kind]; ok {
			f.addf(RuleSharedKind, path+".kind", "%s has the same kind %q: what is learned about the one is applied to the other", batch, job.Kind)
		}
		if restart := lifecycle.DefaultRestartMax.Milliseconds(); job.ExpectedRunMS <= restart {
			f.addf(RuleRunBelowRestart, path+".expected_run_ms",
				"a replica that ends after %d ms waits longer before each restart, up to %d ms; only runs above %d ms reset that delay", job.ExpectedRunMS, restart, restart)
		}
		f.checkReplicaRoom(path+".replicas", i, job)
	}
}

// checkReplicaRoom checks that the workers of each domain have room for the replicas whose
// home it is. Replicas do not move to another domain.
func (f *finder) checkReplicaRoom(path string, index int, job declaration.StandingJob) {
	byDomain := map[string][]string{}
	for _, r := range f.replicas[index] {
		byDomain[r.home.Domain] = append(byDomain[r.home.Domain], fmt.Sprint(r.number))
	}
	for _, domain := range f.deployment.DomainNames() {
		if room := f.deployment.CountFitting(domain, job.Size); int64(len(byDomain[domain])) > room {
			f.addf(RuleReplicasWithoutRoom, path, "%s (%s) have their home in failure domain %q, whose workers have room for %d",
				plural(len(byDomain[domain]), "replica"), enumerate(byDomain[domain]), domain, room)
		}
	}
}

// refusalName returns the HTTP status and the reason of a refusal.
func refusalName(reason structs.Reason) string {
	return fmt.Sprintf("%d %s", structs.NotRun(reason, "").HTTPStatus(), reason)
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// maxEnumerated is the number of items that a sentence lists.
const maxEnumerated = 5

// enumerate lists at most maxEnumerated items.
func enumerate(items []string) string {
	if len(items) <= maxEnumerated {
		return strings.Join(items, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(items[:maxEnumerated], ", "), len(items)-maxEnumerated)
}

// describe returns an amount of resources with the names of the declaration's fields.
func describe(r structs.Resources) string {
	text := fmt.Sprintf("cpu_milli %d, memory_mb %d", r.CPUMilli, r.MemoryMB)
	if r.Accelerators != 0 {
		text += fmt.Sprintf(", accelerators %d", r.Accelerators)
	}
	return text
}
