package tombstone

import "testing"

// Members of different program versions identify replicas by these hashes, so the hash function must not change.
func TestGoldenHash(t *testing.T) {
	for name, want := range map[string]uint64{
		"":           0xef46db3751d8e999,
		"s-5be2a07c": 0xe35a6331793b3e1,
		"s-1":        0xfa26c5e979a0bf7,
	} {
		if got := Hash(name); got != want {
			t.Errorf("%q is %#x, want %#x", name, got, want)
		}
	}
}
