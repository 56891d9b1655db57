package directory

import (
	"cmp"
	"slices"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/query/keyrange"
)

// Shard is a key range of one version and the searchers that hold it.
type Shard struct {
	Range    keyrange.Range
	Replicas []*backend.Backend
}

// ShardMap is a snapshot of the versions and shards of a service's index. It is
// immutable.
type ShardMap struct {
	// Versions are the complete versions, whose shards tile the key space. The
	// newest is first.
	Versions []uint64
	// Incomplete are the versions with gaps. The newest is first.
	Incomplete []uint64
	shards     map[uint64][]Shard
	writers    []*backend.Backend
}

// Shards returns the shards of a version, sorted by range. The caller must not
// change them.
func (m *ShardMap) Shards(version uint64) []Shard {
	return m.shards[version]
}

// Holding is one range of one version held by one searcher.
type Holding struct {
	Version uint64
	Range   keyrange.Range
	Backend *backend.Backend
}

// NewShardMap returns the map of a service with the given holdings and writers.
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
		m.addVersion(v, rs)
	}
	newestFirst := func(a, b uint64) int { return cmp.Compare(b, a) }
	slices.SortFunc(m.Versions, newestFirst)
	slices.SortFunc(m.Incomplete, newestFirst)
	return m
}

// addVersion adds a version with the searchers that hold each range.
func (m *ShardMap) addVersion(version uint64, held map[keyrange.Range][]*backend.Backend) {
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
