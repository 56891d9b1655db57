package contract

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// splitGroups assigns nodes to groups by repeated halving. groups must be a
// power of two.
func splitGroups(nodes []string, groups int) [][]string {
	hs := [][]string{nodes}
	for level := 1; len(hs) < groups; level++ {
		next := make([][]string, 0, 2*len(hs))
		for i, h := range hs {
			o := rendezvousOrder(h, level, i)
			mid := (len(o) + 1) / 2
			next = append(next, o[:mid], o[mid:])
		}
		hs = next
	}
	for i := range hs {
		hs[i] = rendezvousOrder(hs[i], 0, i)
	}
	return hs
}

// scoredNode is a node with its rendezvous hash for one split.
type scoredNode struct {
	id    string
	score uint64
}

// rendezvousOrder returns nodes sorted by their rendezvous hash for the split
// that level and index identify.
func rendezvousOrder(nodes []string, level, index int) []string {
	var salt [16]byte
	binary.LittleEndian.PutUint64(salt[:8], uint64(level))
	binary.LittleEndian.PutUint64(salt[8:], uint64(index))
	ss := make([]scoredNode, len(nodes))
	for i, n := range nodes {
		ss[i] = scoredNode{id: n, score: rendezvousHash(string(salt[:]), n)}
	}
	slices.SortFunc(ss, func(a, b scoredNode) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	out := make([]string, len(ss))
	for i, s := range ss {
		out[i] = s.id
	}
	return out
}

// rank returns the position of a node, from 0, among a searcher's holders in
// rendezvous order.
func rank(self, searcher string, holders []string) int {
	own, n := rendezvousHash(searcher, self), 0
	for _, h := range holders {
		if s := rendezvousHash(searcher, h); s < own || s == own && h < self {
			n++
		}
	}
	return n
}

// rendezvousHash returns the hash of a node for a salt.
func rendezvousHash(salt, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
