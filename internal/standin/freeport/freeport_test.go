package freeport

import "testing"

// TestAddrsAreDistinct guards against two test processes that are given the same port, which
// happened as each of them only looked whether a port was free.
func TestAddrsAreDistinct(t *testing.T) {
	var allocators [4]Allocator
	seen := map[string]bool{}
	for range 2 * blockSize {
		for n := range allocators {
			addr, err := allocators[n].Addr()
			if err != nil {
				t.Fatal(err)
			}
			if seen[addr] {
				t.Fatalf("%s was given out twice", addr)
			}
			seen[addr] = true
		}
	}
	for n := range allocators {
		if err := allocators[n].Close(); err != nil {
			t.Error(err)
		}
	}
}
