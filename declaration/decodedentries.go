package declaration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bergamotstile/strictjson"
)

// DecodedEntries maps the names of entries to their decoded values. At the
// design scale, a deployment has about eight hundred entries and an apply
// changes one of them, so only changed entries are decoded again.
type DecodedEntries map[string]any

// Decode returns all entries in decoded form.
func (e Entries) Decode() (DecodedEntries, error) {
	return DecodedEntries{}.Apply(Delta{Upserts: e})
}

// Apply returns the decoded entries after a delta. It does not modify e.
func (e DecodedEntries) Apply(d Delta) (DecodedEntries, error) {
	next := maps.Clone(e)
	for _, name := range d.Deletes {
		delete(next, name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Upserts)) {
		entry, err := decodeEntry(name, d.Upserts[name])
		if err != nil {
			return nil, fmt.Errorf("entry %s: %w", name, err)
		}
		next[name] = entry
	}
	return next, nil
}

func decodeEntry(name string, value json.RawMessage) (any, error) {
	section, _, _ := strings.Cut(name, "/")
	switch section {
	case sectionDeployment:
		return decodeAs[generalEntry](value)
	case sectionShapes:
		return decodeAs[WorkerShape](value)
	case sectionDomains:
		return decodeAs[Domain](value)
	case sectionServices:
		return decodeAs[Service](value)
	case sectionTeams:
		return decodeAs[Team](value)
	case sectionBatch:
		return decodeAs[BatchJob](value)
	case sectionStanding:
		return decodeAs[StandingJob](value)
	}
	return nil, fmt.Errorf("unknown section %q", section)
}

func decodeAs[T any](value json.RawMessage) (any, error) {
	var entry T
	err := strictjson.Decode(value, &entry)
	return entry, err
}

// Deployment returns the deployment that consists of the entries. Each of its
// lists is sorted by name. The deployment shares the lists inside its items with
// the decoded entries.
func (e DecodedEntries) Deployment() (*Deployment, error) {
	if _, ok := e[generalEntryName]; !ok {
		return nil, fmt.Errorf("entry %s is missing", generalEntryName)
	}
	d := &Deployment{}
	for _, name := range slices.Sorted(maps.Keys(e)) {
		d.addEntry(e[name])
	}
	return d, nil
}

func (d *Deployment) addEntry(entry any) {
	switch part := entry.(type) {
	case generalEntry:
		d.Name, d.Objective, d.ShardsPerDomain = part.Name, part.Objective, part.ShardsPerDomain
	case WorkerShape:
		d.WorkerShapes = append(d.WorkerShapes, part)
	case Domain:
		d.Domains = append(d.Domains, part)
	case Service:
		d.Services = append(d.Services, part)
	case Team:
		d.Teams = append(d.Teams, part)
	case BatchJob:
		d.BatchJobs = append(d.BatchJobs, part)
	case StandingJob:
		d.StandingJobs = append(d.StandingJobs, part)
	}
}
