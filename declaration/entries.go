package declaration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Entries is a deployment as named parts: section/name to JSON. The order of
// the lists in the file does not matter to it.
type Entries map[string]json.RawMessage

// The sections of entry names.
const (
	sectionDeployment = "deployment"
	sectionShapes     = "worker_shapes"
	sectionDomains    = "domains"
	sectionServices   = "services"
	sectionTeams      = "teams"
	sectionBatch      = "batch_jobs"
	sectionStanding   = "standing_jobs"
)

// entryGeneral holds the fields that are not lists.
const entryGeneral = sectionDeployment + "/general"

type general struct {
	Name            string    `json:"name"`
	Objective       Objective `json:"objective"`
	ShardsPerDomain int       `json:"shards_per_domain"`
}

// Delta is what one accepted apply changes.
type Delta struct {
	Upserts Entries  `json:"upserts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Upserts) == 0 && len(d.Deletes) == 0
}

// Entries returns the parts of a deployment.
func (d *Deployment) Entries() Entries {
	e := Entries{}
	e.put(entryGeneral, general{d.Name, d.Objective, d.ShardsPerDomain})
	putAll(e, sectionShapes, d.WorkerShapes, func(s WorkerShape) string { return s.Name })
	putAll(e, sectionDomains, d.Domains, func(s Domain) string { return s.Name })
	putAll(e, sectionServices, d.Services, func(s Service) string { return s.Name })
	putAll(e, sectionTeams, d.Teams, func(s Team) string { return s.Name })
	putAll(e, sectionBatch, d.BatchJobs, func(s BatchJob) string { return s.Kind })
	putAll(e, sectionStanding, d.StandingJobs, func(s StandingJob) string { return s.Kind })
	return e
}

func putAll[T any](e Entries, section string, list []T, nameOf func(T) string) {
	for _, item := range list {
		e.put(section+"/"+nameOf(item), item)
	}
}

func (e Entries) put(name string, part any) {
	value, err := json.Marshal(part)
	if err != nil {
		panic(fmt.Sprintf("declaration: entry %s: %v", name, err))
	}
	e[name] = value
}

// Deployment assembles the deployment, with every list in order of names.
func (e Entries) Deployment() (*Deployment, error) {
	parts, err := e.Parts()
	if err != nil {
		return nil, err
	}
	return parts.Deployment()
}

// Digest identifies the content of the entries.
func (e Entries) Digest() string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(e)) {
		fmt.Fprintf(h, "%d:%s%d:%s", len(name), name, len(e[name]), e[name])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Diff returns the delta that turns from into to.
func Diff(from, to Entries) Delta {
	d := Delta{Upserts: Entries{}}
	for name, value := range to {
		if old, ok := from[name]; !ok || !bytes.Equal(old, value) {
			d.Upserts[name] = value
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			d.Deletes = append(d.Deletes, name)
		}
	}
	slices.Sort(d.Deletes)
	return d
}

// Apply returns the entries after a delta and leaves e as it is.
func (e Entries) Apply(d Delta) (Entries, error) {
	next := maps.Clone(e)
	if next == nil {
		next = Entries{}
	}
	for _, name := range d.Deletes {
		if _, ok := next[name]; !ok {
			return nil, fmt.Errorf("delta deletes the unknown entry %s", name)
		}
		delete(next, name)
	}
	maps.Copy(next, d.Upserts)
	return next, nil
}
