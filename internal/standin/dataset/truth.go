package dataset

import (
	"slices"
	"sync"

	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
)

// Config holds the first version of an index.
type Config struct {
	Records []record.Record
	// Ranges are the shards, which must tile the key space.
	Ranges []keyrange.Range
}

// GroundTruth holds the versions of an index and records the queries and writes
// that ran. It is safe for concurrent use.
type GroundTruth struct {
	mu            sync.RWMutex
	versions      []*version // version n is at index n-1
	pending       []record.Record
	runs          map[string]int // by idempotency key
	duplicateRuns int
	revision      uint64
	ranQueries    sync.Map // query id -> struct{}
}

// version is the immutable content of one index version.
type version struct {
	ranges []keyrange.Range
	groups []group
}

// group holds the records of one key, one for each schema version.
type group struct {
	point   uint64
	key     string
	records []record.Record
}

// New returns the ground truth of an index whose version 1 holds c.Records.
func New(c Config) *GroundTruth {
	if !keyrange.Tile(c.Ranges) {
		panic("dataset: ranges do not tile the key space")
	}
	t := &GroundTruth{runs: map[string]int{}}
	for _, r := range c.Records {
		t.revision = max(t.revision, r.Revision)
	}
	t.versions = []*version{{ranges: slices.Clone(c.Ranges), groups: groupByKey(c.Records)}}
	return t
}

// NewestVersion returns the number of the newest version.
func (t *GroundTruth) NewestVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return uint64(len(t.versions))
}

// Ranges returns the shards of a version, or nil if the version does not
// exist.
func (t *GroundTruth) Ranges(number uint64) []keyrange.Range {
	if v := t.version(number); v != nil {
		return slices.Clone(v.ranges)
	}
	return nil
}

// Publish creates a version with the given shards (nil keeps them) and the
// records registered since the last one, and returns its number. With
// bumpRevisions, every existing record gets a higher revision, so that
// records of two versions can be told apart.
func (t *GroundTruth) Publish(ranges []keyrange.Range, bumpRevisions bool) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.versions[len(t.versions)-1]
	if ranges == nil {
		ranges = last.ranges
	}
	if !keyrange.Tile(ranges) {
		panic("dataset: ranges do not tile the key space")
	}
	v := &version{ranges: slices.Clone(ranges), groups: last.groups}
	if bumpRevisions || len(t.pending) > 0 {
		v.groups = groupByKey(append(last.records(bumpRevisions), t.pending...))
	}
	if bumpRevisions {
		t.revision++
	}
	t.pending = nil
	t.versions = append(t.versions, v)
	return uint64(len(t.versions))
}

// Pending returns the number of records registered since the newest version.
func (t *GroundTruth) Pending() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.pending)
}

// version returns the version with the given number, or nil if it does not
// exist.
func (t *GroundTruth) version(number uint64) *version {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if number == 0 || number > uint64(len(t.versions)) {
		return nil
	}
	return t.versions[number-1]
}

// records returns all records of v, with revisions increased by one if
// bumpRevisions is set.
func (v *version) records(bumpRevisions bool) []record.Record {
	var rs []record.Record
	for _, g := range v.groups {
		for _, r := range g.records {
			if bumpRevisions {
				r.Revision++
			}
			rs = append(rs, r)
		}
	}
	return rs
}

// groupsIn returns the groups of v whose points are in r.
func (v *version) groupsIn(r keyrange.Range) []group {
	byPoint := func(g group, p uint64) int {
		if g.point < p {
			return -1
		}
		return 1
	}
	first, _ := slices.BinarySearchFunc(v.groups, r.First, byPoint)
	last := len(v.groups)
	if r.Last+1 != 0 {
		last, _ = slices.BinarySearchFunc(v.groups, r.Last+1, byPoint)
	}
	return v.groups[first:last]
}

// group returns the group of a key, and false if v does not have the key.
func (v *version) group(key string) (group, bool) {
	p := keyrange.Point(key)
	for _, g := range v.groupsIn(keyrange.Range{First: p, Last: p}) {
		if g.key == key {
			return g, true
		}
	}
	return group{}, false
}

// groupByKey groups records by key and sorts the groups by point. Of several
// records with the same key and schema version it keeps the newest.
func groupByKey(rs []record.Record) []group {
	byKey := map[string]*group{}
	for _, r := range rs {
		g := byKey[r.Key]
		if g == nil {
			g = &group{point: keyrange.Point(r.Key), key: r.Key}
			byKey[r.Key] = g
		}
		i := slices.IndexFunc(g.records, func(o record.Record) bool { return o.SchemaVersion == r.SchemaVersion })
		switch {
		case i < 0:
			g.records = append(g.records, r)
		case g.records[i].Revision < r.Revision:
			g.records[i] = r
		}
	}
	gs := make([]group, 0, len(byKey))
	for _, g := range byKey {
		gs = append(gs, *g)
	}
	slices.SortFunc(gs, func(a, b group) int {
		if a.point != b.point {
			return keyrange.Range{First: a.point}.Compare(keyrange.Range{First: b.point})
		}
		return slices.Compare([]byte(a.key), []byte(b.key))
	})
	return gs
}
