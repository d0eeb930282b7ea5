package structs

import (
	"hash/fnv"
	"slices"
)

// ShardOf returns the shard of a failure domain that owns a key.
func ShardOf(domain, key string, shards int) ShardID {
	return ShardID{Domain: domain, Index: int(hash64(key) % uint64(max(shards, 1)))}
}

// ShardOfMember returns the shard that a worker or runner belongs to.
func ShardOfMember(domain, name string, shards int) ShardID {
	return ShardOf(domain, name, shards)
}

// HomeDomain returns the failure domain that handles a key when its caller
// names none. It is a rendezvous hash, so a new domain moves few keys. It
// returns "" if there are no domains.
func HomeDomain(key string, domains []string) string {
	ranked := RankByHash(key, domains)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// RankByHash orders names by rendezvous hash for a key.
func RankByHash(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		ha, hb := hash64(key+"\x00"+a), hash64(key+"\x00"+b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		case a < b:
			return -1
		default:
			return 1
		}
	})
	return ranked
}

// hash64 mixes FNV-1a's output, whose low bits alone differ little between
// keys that share a prefix.
func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
