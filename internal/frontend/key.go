package frontend

import (
	"hash/fnv"
	"io"

	"rampspread/routing"
)

// HashKey returns the routing key for the name of a session or prefix: the name's FNV-1a hash, or 1 if the hash is 0.
// It returns the same key at every dispatcher of any version. The key of an empty name is 0, which means no key.
func HashKey(name string) routing.Key {
	if name == "" {
		return 0
	}
	hash := fnv.New64a()
	io.WriteString(hash, name)
	return routing.Key(max(hash.Sum64(), 1))
}
