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

// Entries is a deployment as a map of named entries. The key is section/name,
// the value is the entry in JSON. The map does not depend on the order of the
// lists in the declaration.
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

// generalEntryName is the name of the entry with the fields of a deployment that
// are not lists.
const generalEntryName = sectionDeployment + "/general"

type generalEntry struct {
	Name            string    `json:"name"`
	Objective       Objective `json:"objective"`
	ShardsPerDomain int       `json:"shards_per_domain"`
}

// Delta is the difference between two versions of a deployment: the entries that
// are new or changed and the names of those that are removed.
type Delta struct {
	Upserts Entries  `json:"upserts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// IsEmpty reports whether the delta contains no change.
func (d Delta) IsEmpty() bool {
	return len(d.Upserts) == 0 && len(d.Deletes) == 0
}

// Entries returns the deployment as named entries.
func (d *Deployment) Entries() Entries {
	e := Entries{}
	e.put(generalEntryName, generalEntry{d.Name, d.Objective, d.ShardsPerDomain})
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

func (e Entries) put(name string, entry any) {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(fmt.Sprintf("declaration: entry %s: %v", name, err))
	}
	e[name] = value
}

// Deployment returns the deployment that consists of the entries. Each of its
// lists is sorted by name.
func (e Entries) Deployment() (*Deployment, error) {
	decoded, err := e.Decode()
	if err != nil {
		return nil, err
	}
	return decoded.Deployment()
}

// Digest returns a SHA-256 hash of all names and values in hexadecimal digits.
func (e Entries) Digest() string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(e)) {
		fmt.Fprintf(h, "%d:%s%d:%s", len(name), name, len(e[name]), e[name])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Diff returns the delta that changes the entries from to the entries to.
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

// Apply returns the entries after a delta. It does not modify e. It fails if the
// delta deletes an entry that does not exist.
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
