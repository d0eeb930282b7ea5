package structs

import (
	"hash/fnv"
	"slices"
)

// ShardOf returns the shard of a failure domain to which a key belongs. It
// treats a shard count below one as one.
func ShardOf(domain, key string, shards int) ShardID {
	return ShardID{Domain: domain, Index: int(hash64(key) % uint64(max(shards, 1)))}
}

// ShardOfMember returns the shard to which a worker or runner of a failure
// domain belongs.
func ShardOfMember(domain, name string, shards int) ShardID {
	return ShardOf(domain, name, shards)
}

// HomeDomain returns the failure domain that handles a key if the caller names
// no domain. It uses rendezvous hashing, so that adding a domain moves only
// the keys that the new domain takes over. It returns "" if domains is empty.
func HomeDomain(key string, domains []string) string {
	ranked := RankByHash(key, domains)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// RankByHash returns the names in descending order of their rendezvous hash
// for a key.
func RankByHash(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		hashA, hashB := hash64(key+"\x00"+a), hash64(key+"\x00"+b)
		switch {
		case hashA > hashB:
			return -1
		case hashA < hashB:
			return 1
		case a < b:
			return -1
		default:
			return 1
		}
	})
	return ranked
}

// hash64 returns the FNV-1a hash of s after the final mixing step of
// MurmurHash3. Without that step, the low bits of the FNV-1a hash differ little
// between keys that share a prefix.
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
