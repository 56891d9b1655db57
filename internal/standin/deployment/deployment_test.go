package deployment_test

import (
	"slices"
	"testing"

	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/searcher"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// held returns the ranges that the searchers hold of a version.
func held(d *deployment.Deployment, version uint64) []keyrange.Range {
	var rs []keyrange.Range
	for _, s := range d.Searchers {
		for _, h := range s.Status().Holdings {
			if h.Version == version {
				rs = append(rs, h.Ranges...)
			}
		}
	}
	return rs
}

func TestEveryVersionIsHeldByEveryReplica(t *testing.T) {
	goleak.VerifyNone(t)
	d, err := deployment.New(deployment.Config{
		Service: "s", Shards: 7, Replicas: 2, ShardsPerSearcher: 2, Records: dataset.Jobs(),
		Searcher: searcher.Config{Slots: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		v := d.Truth.Newest()
		if i > 0 {
			rs := deployment.MergeShards(deployment.SplitShard(d.Truth.Ranges(v), i), 0)
			v = d.Publish(deployment.Change{Ranges: rs, BumpRevisions: true, MoveShards: true})
		}
		rs := held(d, v)
		slices.SortFunc(rs, keyrange.Range.Compare)
		var one, two []keyrange.Range
		for j, r := range rs {
			if j%2 == 0 {
				one = append(one, r)
			} else {
				two = append(two, r)
			}
		}
		if !keyrange.Tile(one) || !slices.Equal(one, two) {
			t.Fatalf("version %d: %v", v, rs)
		}
		if v > 2 && len(held(d, v-2)) != 0 {
			t.Fatalf("version %d still held", v-2)
		}
	}
	d.Close()
	goleak.VerifyNone(t)
}

func TestSplitAndMergeTile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := keyrange.Split(rapid.IntRange(2, 9).Draw(t, "n"))
		for range 5 {
			rs = deployment.SplitShard(rs, rapid.IntRange(0, len(rs)-1).Draw(t, "split"))
			rs = deployment.MergeShards(rs, rapid.IntRange(0, len(rs)-2).Draw(t, "merge"))
			if !keyrange.Tile(rs) {
				t.Fatalf("%v", rs)
			}
		}
	})
}

func TestFleetsStart(t *testing.T) {
	for _, f := range []func(uint64) (deployment.Fleet, error){deployment.Takasago, deployment.Moisi} {
		fleet, err := f(1)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range fleet {
			if rs := held(d, 1); !keyrange.Tile(slices.Compact(slices.SortedFunc(slices.Values(rs), keyrange.Range.Compare))) {
				t.Fatalf("%s: %v", d.Service(), rs)
			}
		}
		fleet.Close()
	}
	goleak.VerifyNone(t)
}
