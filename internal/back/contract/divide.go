package contract

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// divide deals nodes out to groups, a power of two in number, by halves.
func divide(nodes []string, groups int) [][]string {
	hs := [][]string{nodes}
	for level := 1; len(hs) < groups; level++ {
		next := make([][]string, 0, 2*len(hs))
		for i, h := range hs {
			o := ordered(h, level, i)
			mid := (len(o) + 1) / 2
			next = append(next, o[:mid], o[mid:])
		}
		hs = next
	}
	for i := range hs {
		hs[i] = ordered(hs[i], 0, i)
	}
	return hs
}

// scored is a node with its place in the order of one cut.
type scored struct {
	id    string
	score uint64
}

// ordered returns nodes in the rendezvous order of a cut.
func ordered(nodes []string, level, index int) []string {
	var salt [16]byte
	binary.LittleEndian.PutUint64(salt[:8], uint64(level))
	binary.LittleEndian.PutUint64(salt[8:], uint64(index))
	ss := make([]scored, len(nodes))
	for i, n := range nodes {
		ss[i] = scored{id: n, score: score(string(salt[:]), n)}
	}
	slices.SortFunc(ss, func(a, b scored) int {
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

// rank returns the place of a node among the holders of a searcher.
func rank(self, searcher string, holders []string) int {
	mine, n := score(searcher, self), 0
	for _, h := range holders {
		if s := score(searcher, h); s < mine || s == mine && h < self {
			n++
		}
	}
	return n
}

// score is the rendezvous hash of a node for a salt.
func score(salt, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
