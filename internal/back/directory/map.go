package directory

import (
	"cmp"
	"slices"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/query/keyrange"
)

// Shard is one key range of one version, and the searchers that hold it.
type Shard struct {
	Range    keyrange.Range
	Replicas []*backend.Backend
}

// ShardMap is what is known of a service's index at one moment. It is never
// changed once made.
type ShardMap struct {
	// Versions whose ranges tile the key space, newest first.
	Versions []uint64
	// Incomplete are the versions with gaps, newest first.
	Incomplete []uint64
	shards     map[uint64][]Shard
	writers    []*backend.Backend
}

// Shards returns the shards of a version, in the order of their ranges. The
// caller must not change them.
func (m *ShardMap) Shards(version uint64) []Shard {
	return m.shards[version]
}

// Holding is one range of one version on one searcher.
type Holding struct {
	Version uint64
	Range   keyrange.Range
	Backend *backend.Backend
}

// NewShardMap returns the map of a service whose searchers hold hs.
func NewShardMap(hs []Holding, writers []*backend.Backend) *ShardMap {
	m := &ShardMap{shards: map[uint64][]Shard{}, writers: writers}
	held := map[uint64]map[keyrange.Range][]*backend.Backend{}
	for _, h := range hs {
		if held[h.Version] == nil {
			held[h.Version] = map[keyrange.Range][]*backend.Backend{}
		}
		held[h.Version][h.Range] = append(held[h.Version][h.Range], h.Backend)
	}
	for v, rs := range held {
		m.add(v, rs)
	}
	newest := func(a, b uint64) int { return cmp.Compare(b, a) }
	slices.SortFunc(m.Versions, newest)
	slices.SortFunc(m.Incomplete, newest)
	return m
}

// add puts one version into the map.
func (m *ShardMap) add(version uint64, held map[keyrange.Range][]*backend.Backend) {
	cs := make([]RangeCandidate, 0, len(held))
	for r, bs := range held {
		cs = append(cs, RangeCandidate{Range: r, Replicas: len(bs)})
	}
	chosen := ChooseRanges(cs)
	ss := make([]Shard, len(chosen))
	for i, r := range chosen {
		ss[i] = Shard{Range: r, Replicas: held[r]}
	}
	m.shards[version] = ss
	if keyrange.Tile(chosen) {
		m.Versions = append(m.Versions, version)
		return
	}
	m.Incomplete = append(m.Incomplete, version)
}
