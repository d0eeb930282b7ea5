package declaration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bergamotstile/strictjson"
)

// Parts is decoded entries by name. At the design scale an apply changes one
// entry of some eight hundred, so only changed entries are decoded again.
type Parts map[string]any

// Parts decodes all entries.
func (e Entries) Parts() (Parts, error) {
	return Parts{}.Apply(Delta{Upserts: e})
}

// Apply returns the parts after a delta and leaves p as it is.
func (p Parts) Apply(d Delta) (Parts, error) {
	next := maps.Clone(p)
	for _, name := range d.Deletes {
		delete(next, name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Upserts)) {
		part, err := decodePart(name, d.Upserts[name])
		if err != nil {
			return nil, fmt.Errorf("entry %s: %w", name, err)
		}
		next[name] = part
	}
	return next, nil
}

func decodePart(name string, value json.RawMessage) (any, error) {
	section, _, _ := strings.Cut(name, "/")
	switch section {
	case sectionDeployment:
		return decodeAs[general](value)
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
	var part T
	err := strictjson.Decode(value, &part)
	return part, err
}

// Deployment assembles the deployment, with every list in order of names. It
// shares the inner lists of the parts.
func (p Parts) Deployment() (*Deployment, error) {
	if _, ok := p[entryGeneral]; !ok {
		return nil, fmt.Errorf("entry %s is missing", entryGeneral)
	}
	d := &Deployment{}
	for _, name := range slices.Sorted(maps.Keys(p)) {
		d.add(p[name])
	}
	return d, nil
}

func (d *Deployment) add(part any) {
	switch part := part.(type) {
	case general:
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
