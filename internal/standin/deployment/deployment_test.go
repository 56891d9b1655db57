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

// heldRanges returns the ranges that the searchers hold of a version, over
// all replicas.
func heldRanges(d *deployment.Deployment, version uint64) []keyrange.Range {
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
		v := d.Truth.NewestVersion()
		if i > 0 {
			rs := deployment.MergeShards(deployment.SplitShard(d.Truth.Ranges(v), i), 0)
			v = d.Publish(deployment.Change{Ranges: rs, BumpRevisions: true, MoveShards: true})
		}
		rs := heldRanges(d, v)
		slices.SortFunc(rs, keyrange.Range.Compare)
		var first, second []keyrange.Range
		for j, r := range rs {
			if j%2 == 0 {
				first = append(first, r)
			} else {
				second = append(second, r)
			}
		}
		if !keyrange.Tile(first) || !slices.Equal(first, second) {
			t.Fatalf("version %d is not held once by each replica: %v", v, rs)
		}
		if v > 2 && len(heldRanges(d, v-2)) != 0 {
			t.Fatalf("version %d is still held", v-2)
		}
	}
	d.Close()
	goleak.VerifyNone(t)
}

func TestSplitAndMergeKeepTiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := keyrange.Split(rapid.IntRange(2, 9).Draw(t, "n"))
		for range 5 {
			rs = deployment.SplitShard(rs, rapid.IntRange(0, len(rs)-1).Draw(t, "split"))
			rs = deployment.MergeShards(rs, rapid.IntRange(0, len(rs)-2).Draw(t, "merge"))
			if !keyrange.Tile(rs) {
				t.Fatalf("ranges do not tile the key space: %v", rs)
			}
		}
	})
}

func TestSampleFleetsHoldAllRanges(t *testing.T) {
	for _, f := range []func(uint64) (deployment.Fleet, error){deployment.Takasago, deployment.Moisi} {
		fleet, err := f(1)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range fleet {
			if rs := heldRanges(d, 1); !keyrange.Tile(slices.Compact(slices.SortedFunc(slices.Values(rs), keyrange.Range.Compare))) {
				t.Fatalf("ranges of %s do not tile the key space: %v", d.Service(), rs)
			}
		}
		fleet.Close()
	}
	goleak.VerifyNone(t)
}
