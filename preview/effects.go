package preview

import (
	"fmt"
	"slices"
	"strings"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// explainer says what the differences between two deployments do. Its sentences describe
// what entry instances do once the version is in force there.
type explainer struct {
	current, next *declaration.Deployment
	// moved holds the replicas whose home domain changes.
	moved []movedReplica
}

// movedReplica is a replica of a standing job that both deployments declare, under the
// same ID but with another home domain.
type movedReplica struct {
	job      string
	number   int
	id       structs.WorkID
	from, to string
}

func newExplainer(current, next *declaration.Deployment) *explainer {
	e := &explainer{current: current, next: next}
	homes := map[structs.WorkID]string{}
	for _, replicas := range homeReplicas(current) {
		for _, r := range replicas {
			homes[r.id] = r.home.Domain
		}
	}
	for i, replicas := range homeReplicas(next) {
		for _, r := range replicas {
			if from, ok := homes[r.id]; ok && from != r.home.Domain {
				e.moved = append(e.moved, movedReplica{next.StandingJobs[i].Kind, r.number, r.id, from, r.home.Domain})
			}
		}
	}
	return e
}

// effects returns the sentences about one difference.
func (e *explainer) effects(d Difference) []string {
	section, name, _ := strings.Cut(d.Entry, "/")
	if d.Change == ChangeChanged && len(d.Fields) == 0 {
		return []string{"Only the order of a list differs, which changes nothing."}
	}
	switch section {
	case "deployment":
		return generalEffects(d)
	case "worker_shapes":
		return shapeEffects(d)
	case "domains":
		return e.domainEffects(d, name)
	case "services":
		return e.serviceEffects(d, name)
	case "teams":
		return teamEffects(d)
	case "batch_jobs":
		return e.batchEffects(d, name)
	case "standing_jobs":
		return e.standingEffects(d, name)
	}
	return []string{}
}

func generalEffects(d Difference) []string {
	var effects []string
	if changes(d, "name") {
		effects = append(effects, "The name of the deployment appears only in messages of commands.")
	}
	if changes(d, "objective") {
		effects = append(effects, "The next plans follow the new weights, also the limits from which running work beside a service is slowed or evicted. The change itself stops nothing.")
	}
	return effects
}

// capacityEffect holds for changes of shapes and of the workers of a domain.
var capacityEffect = "Instances take the workers and their capacity from the membership list and from the workers, not from the declaration. The declaration decides which submits are refused with " +
	refusalName(structs.ReasonNeverFits) + " and which share of the quotas each failure domain gets. Running work goes on; where a share shrinks, waiting work starts later."

func shapeEffects(d Difference) []string {
	if d.Change == ChangeChanged {
		return []string{capacityEffect}
	}
	return []string{"The shape itself changes nothing; the failure domains that name it do."}
}

func (e *explainer) domainEffects(d Difference, name string) []string {
	switch d.Change {
	case ChangeAdded:
		return append([]string{
			"The domain becomes the home of a part of the keys of requests and submits that name no domain. Recorded work stays where it is. A request or submit that was sent before and is repeated under such a key is not recognised there and may run again.",
			capacityEffect,
		}, e.movedEffects(func(r movedReplica) bool { return r.to == name })...)
	case ChangeRemoved:
		return append([]string{
			fmt.Sprintf("Requests that name the domain are refused with %s, submits with %s.", refusalName(structs.ReasonUnknownDomain), refusalName(structs.ReasonNeverFits)),
			fmt.Sprintf("As long as its entry instances run, work that runs there goes on and work that waits there still starts, within the size of its team's largest job for each shard. Status and cancel of that work are refused with %s, or with %s if they name the domain.", refusalName(structs.ReasonNotFound), refusalName(structs.ReasonUnknownDomain)),
			"Its keys get another home. A request or submit that was sent before and is repeated under such a key is not recognised there and may run again.",
		}, e.movedEffects(func(r movedReplica) bool { return r.from == name })...)
	}
	return []string{capacityEffect}
}

// movedEffects returns a sentence for each standing job of which selected replicas get
// another home domain. The instances of the earlier home no longer count such a replica
// among their own and do not cancel it.
func (e *explainer) movedEffects(selected func(movedReplica) bool) []string {
	var jobs []string
	byJob := map[string][]string{}
	for _, r := range e.moved {
		if !selected(r) {
			continue
		}
		if byJob[r.job] == nil {
			jobs = append(jobs, r.job)
		}
		byJob[r.job] = append(byJob[r.job], fmt.Sprintf("%d (%s from %s to %s)", r.number, r.id, r.from, r.to))
	}
	var effects []string
	for _, job := range jobs {
		effects = append(effects, fmt.Sprintf("Replicas of standing job %q get another home and are started there: %s. The earlier ones are not cancelled and go on beside them.", job, enumerate(byJob[job])))
	}
	return effects
}

func (e *explainer) serviceEffects(d Difference, name string) []string {
	switch d.Change {
	case ChangeAdded:
		return []string{fmt.Sprintf("Requests to it are accepted. They are refused with %s until the membership list has runners of the service.", refusalName(structs.ReasonNoRunner))}
	case ChangeRemoved:
		return []string{
			fmt.Sprintf("New requests to it are refused with %s. Requests that wait or are at a runner are finished.", refusalName(structs.ReasonUnknownService)),
			"Its runners are not stopped.",
		}
	}
	var effects []string
	if changes(d, "runners") || changes(d, "slots") || changes(d, "connections") {
		effects = append(effects, "Instances take runners, slots and connections from the membership list, so no request is handled in another way and no runner is started or stopped.")
	}
	from, _ := e.current.Service(name)
	to, _ := e.next.Service(name)
	for _, request := range from.Requests {
		next, ok := to.RequestKind(request.Kind)
		if !ok {
			effects = append(effects, fmt.Sprintf("New requests of kind %q are refused with %s. Those that wait or are at a runner are finished.", request.Kind, refusalName(structs.ReasonNotFound)))
			continue
		}
		effects = append(effects, requestEffects(request, next)...)
	}
	for _, request := range to.Requests {
		if _, ok := from.RequestKind(request.Kind); !ok {
			effects = append(effects, fmt.Sprintf("Requests of kind %q are accepted.", request.Kind))
		}
	}
	return effects
}

// requestEffects returns the sentences about a kind of request that both deployments
// declare.
func requestEffects(from, to declaration.RequestKind) []string {
	var effects []string
	if from.TimeoutMS != to.TimeoutMS {
		effects = append(effects, fmt.Sprintf("Requests of kind %q that arrive from then on without the header %s have a timeout of %d ms instead of %d ms.", to.Kind, structs.HeaderTimeoutMS, to.TimeoutMS, from.TimeoutMS))
	}
	if from.Class != to.Class {
		effects = append(effects, fmt.Sprintf("Requests of kind %q that arrive from then on have class %s instead of %s, which decides which wait and which are refused first under load.", to.Kind, to.Class, from.Class))
	}
	switch {
	case from.Idempotent && !to.Idempotent:
		effects = append(effects, fmt.Sprintf("Requests of kind %q without a key are refused with %s. Each one that is accepted waits for the write of a claim, and is refused while the table is down.", to.Kind, refusalName(structs.ReasonKeyRequired)))
	case !from.Idempotent && to.Idempotent:
		effects = append(effects, fmt.Sprintf("Requests of kind %q need no key and no claim. Earlier claims are not read any more, so a request that was sent before and is repeated under its key may run again.", to.Kind))
	}
	return effects
}

func teamEffects(d Difference) []string {
	switch d.Change {
	case ChangeAdded:
		return []string{"The team may submit the batch jobs that belong to it. Nothing that runs is stopped; where work waits, the team's share is counted from then on."}
	case ChangeRemoved:
		return []string{fmt.Sprintf("New submits are refused with %s. Recorded batch work of the team goes on: what runs is not stopped, and what waits still starts, with weight 1 and no longer limited by a quota.", refusalName(structs.ReasonUnknownTeam))}
	}
	var effects []string
	if changes(d, "quota") {
		effects = append(effects, fmt.Sprintf("The change stops no running work, also if that is above the new quota; waiting work starts once it fits. Submits above the quota are refused with %s.", refusalName(structs.ReasonOverQuota)))
	}
	if changes(d, "weight") {
		effects = append(effects, "The order in which waiting work starts follows the new weight; the change stops no running work.")
	}
	return effects
}

func (e *explainer) batchEffects(d Difference, name string) []string {
	switch d.Change {
	case ChangeAdded:
		return []string{"Submits of it are accepted."}
	case ChangeRemoved:
		job, _ := e.current.BatchJob(name)
		reason := structs.ReasonUnknownJob
		if _, ok := e.next.Team(job.Team); !ok {
			reason = structs.ReasonUnknownTeam
		}
		effects := []string{fmt.Sprintf("New submits of it are refused with %s. Recorded work of it goes on: what runs is not stopped, and what waits still starts.", refusalName(reason))}
		return append(effects, e.shrunkShareEffects(job)...)
	}
	effects := []string{}
	if changes(d, "team") {
		from, _ := e.current.BatchJob(name)
		effects = append(effects, fmt.Sprintf("Submits of it by team %q are refused with %s.", from.Team, refusalName(structs.ReasonUnknownJob)))
	}
	if changesWork(d) {
		from, _ := e.current.BatchJob(name)
		effects = append(effects, fmt.Sprintf("New submits get the new values. Recorded work, waiting or running, keeps the values of its submit. A submit that is repeated under its key and leaves a changed field out is refused with %s.", refusalName(structs.ReasonKeyReused)))
		effects = append(effects, e.shrunkShareEffects(from)...)
	}
	return append(effects, unreadEffects(d)...)
}

// shrunkShareEffects returns a sentence if the job's recorded size is above the new share
// of its team in a shard and was not above the earlier one: waiting work keeps its size.
func (e *explainer) shrunkShareEffects(job declaration.BatchJob) []string {
	if _, ok := e.next.Team(job.Team); !ok {
		return nil
	}
	var shrunk []string
	for _, domain := range e.next.DomainsFitting(job.Size) {
		share := limitOf(e.next.QuotaShares(domain, e.next.ShardsPerDomain)[job.Team], job.Size)
		if !job.Size.Fits(share) {
			shrunk = append(shrunk, domain)
		}
	}
	if len(shrunk) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("Waiting work of the earlier size is above the team's share of a shard in %s and does not start there any more.", enumerate(shrunk))}
}

func (e *explainer) standingEffects(d Difference, name string) []string {
	from, _ := e.current.StandingJob(name)
	to, _ := e.next.StandingJob(name)
	switch d.Change {
	case ChangeAdded:
		return []string{fmt.Sprintf("Its %s are recorded by the instances of their home domains and start as room is found.", plural(to.Replicas, "replica"))}
	case ChangeRemoved:
		return []string{cancelSentence(fmt.Sprintf("Its %s", plural(from.Replicas, "replica")))}
	}
	var effects []string
	switch {
	case changes(d, "team"):
		effects = append(effects, cancelSentence(fmt.Sprintf("Its %s under team %q", plural(from.Replicas, "replica"), from.Team)),
			fmt.Sprintf("%s under team %q are recorded and start as room is found, which may be before the earlier ones have ended.", plural(to.Replicas, "replica"), to.Team))
	case changesWork(d):
		effects = append(effects, fmt.Sprintf("Recorded replicas keep the earlier values. An instance that takes over their shard cannot record the new ones (%s, counted in standing_submits_failed). Only replicas that are recorded for the first time get the new values; another kind would have to be declared to replace all.", structs.ReasonKeyReused))
	}
	if !changes(d, "team") && to.Replicas < from.Replicas {
		effects = append(effects, cancelSentence(fmt.Sprintf("Replicas %d to %d", to.Replicas, from.Replicas-1)))
	}
	if !changes(d, "team") && to.Replicas > from.Replicas {
		effects = append(effects, fmt.Sprintf("%s more are recorded by the instances of their home domains and start as room is found.", plural(to.Replicas-from.Replicas, "replica")))
	}
	return append(effects, unreadEffects(d)...)
}

// cancelSentence says what happens to replicas that are no longer declared. Only an
// instance that has recorded them while they were declared cancels them.
func cancelSentence(replicas string) string {
	return replicas + " are cancelled: running ones are stopped, waiting ones do not start. An instance that takes over a shard after the change does not cancel replicas that its predecessor left; they go on until they are cancelled by their ID."
}

// workFields are the fields of a job that become part of the recorded work.
var workFields = []string{"class", "size", "expected_run_ms", "max_run_ms", "idempotent"}

// changesWork reports whether the change of a job concerns what is recorded of its work. A
// class that is left out stands for normal.
func changesWork(d Difference) bool {
	return slices.ContainsFunc(d.Fields, func(f FieldChange) bool {
		if f.Path == "class" {
			return className(f.From).Class() != className(f.To).Class()
		}
		field, _, _ := strings.Cut(f.Path, ".")
		return slices.Contains(workFields, field)
	})
}

func className(value []byte) declaration.ClassName {
	return declaration.ClassName(strings.Trim(string(value), `"`))
}

// unreadEffects returns a sentence if fields differ that do not change how a job is
// handled.
func unreadEffects(d Difference) []string {
	var effects []string
	if changes(d, "checkpoint") {
		effects = append(effects, "Instances do not read checkpoint: each worker reports whether it took one.")
	}
	if changes(d, "class") && !changesWork(d) {
		effects = append(effects, "A class that is left out stands for normal, so the class stays the same.")
	}
	return effects
}

// changes reports whether the field, or a field or item inside it, differs.
func changes(d Difference, field string) bool {
	return slices.ContainsFunc(d.Fields, func(f FieldChange) bool {
		rest, ok := strings.CutPrefix(f.Path, field)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}
