package frontend

import (
	"hash/fnv"
	"io"

	"rampspread/routing"
)

// HashKey returns the routing key of a session's or a prefix's name: its FNV-1a hash, the same at every dispatcher of
// any version, but 1 for a hash of 0. The key of an empty name is 0, which means none.
func HashKey(name string) routing.Key {
	if name == "" {
		return 0
	}
	hash := fnv.New64a()
	io.WriteString(hash, name)
	return routing.Key(max(hash.Sum64(), 1))
}
