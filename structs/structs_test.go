package structs

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a hash that leaves a shard with few or no keys or workers.
func TestShardOfSpreadsSequentialNames(t *testing.T) {
	counts := map[int]int{}
	for i := range 1000 {
		counts[ShardOf("d", fmt.Sprintf("worker-%d", i), 4).Index]++
	}
	for shard := range 4 {
		if counts[shard] < 150 {
			t.Errorf("shard %d owns only %d of 1000 names", shard, counts[shard])
		}
	}
}

// Guards against a home domain that changes from one old domain to another when
// a domain is added. A retry during the change would then run in a second
// domain.
func TestHomeDomainMovesOnlyToTheNewDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		before := HomeDomain(key, []string{"a", "b", "c"})
		after := HomeDomain(key, []string{"a", "b", "c", "d"})
		if after != before && after != "d" {
			t.Fatalf("key %q moved from %s to %s", key, before, after)
		}
	})
}
