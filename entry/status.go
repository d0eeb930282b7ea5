package entry

import (
	"context"
	"time"

	"bergamotstile/structs"
)

// statusService answers readiness and status requests.
type statusService struct {
	instance *Instance
}

// Ready returns a refusal while the balancer should send no requests to the instance.
func (s *statusService) Ready() error {
	i := s.instance
	if i.draining.Load() {
		return structs.NotRun(structs.ReasonDraining, "instance is draining")
	}
	if _, err := i.requireShardComponents(); err != nil {
		return err
	}
	if !i.view.Ready() {
		return structs.NotRun(structs.ReasonNotReady, "membership list was not read yet").WithRetryAfter(time.Second)
	}
	if i.isIsolated() {
		return structs.NotRun(structs.ReasonIsolated, "neither the table nor a neighbour is reachable").WithRetryAfter(time.Second)
	}
	return nil
}

// isIsolated reports whether the instance reaches neither the table nor any other instance
// of its domain that is on the last membership list. An instance that is the only one on
// the list is not isolated.
func (i *Instance) isIsolated() bool {
	if i.directTable.Up() {
		return false
	}
	othersInDomain := 0
	for _, m := range i.view.Listed(i.settings.Domain) {
		if m.Name == i.settings.Name {
			continue
		}
		othersInDomain++
		if i.view.Reachable(m.Name) {
			return false
		}
	}
	return othersInDomain > 0
}

// Status is the JSON response of /v1/status.
type Status struct {
	Instance      string          `json:"instance"`
	Domain        string          `json:"domain"`
	Draining      bool            `json:"draining"`
	TableUp       bool            `json:"table_up"`
	ConfigVersion uint64          `json:"config_version"`
	Shards        []OwnedShard    `json:"shards"`
	Instances     []InstanceState `json:"instances"`
}

// OwnedShard is a shard that the instance owns, with the epoch of its lease.
type OwnedShard struct {
	Shard string `json:"shard"`
	Epoch uint64 `json:"epoch"`
}

// InstanceState is the state of another instance: whether it has recently answered a
// heartbeat, and what its own last heartbeat reported.
type InstanceState struct {
	Name          string `json:"name"`
	Domain        string `json:"domain"`
	Reachable     bool   `json:"reachable"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config_version"`
}

// Status returns the state of this instance and of the peers from which a heartbeat
// arrived recently.
func (s *statusService) Status(context.Context) (any, error) {
	i := s.instance
	_, version := i.config.Current()
	status := Status{
		Instance: i.settings.Name, Domain: i.settings.Domain, Draining: i.draining.Load(),
		TableUp: i.directTable.Up(), ConfigVersion: version,
	}
	for _, owned := range i.ownedShards() {
		status.Shards = append(status.Shards, OwnedShard{Shard: owned.Shard.String(), Epoch: owned.Epoch})
	}
	for _, p := range i.view.Peers() {
		status.Instances = append(status.Instances, InstanceState{
			Name: p.Member.Name, Domain: p.Member.Domain, Reachable: p.Reachable,
			Draining: p.Heartbeat.Draining, ConfigVersion: p.Heartbeat.ConfigVersion,
		})
	}
	return status, nil
}
