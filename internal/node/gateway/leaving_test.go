package gateway

import (
	"strconv"
	"testing"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

// newSearcherView returns a view whose store holds one searcher; the value of its entry is
// its start time.
func newSearcherView(t *testing.T) *storeView {
	v := newStoreView(storeViewConfig{Self: vmregistry.VM{ID: "a"}, Events: event.Discard{}, OnVMCount: func(int) {}, EntryGrace: 2 * time.Second,
		Decode: Decoder{ConfigKey: "op/config", VMPrefix: "vms/", SearcherPrefix: "servers/",
			Config: func([]byte) (*routing.Config, error) { return &routing.Config{Version: 1}, nil },
			Searcher: func(_ string, b []byte, _ time.Time) (registry.Searcher, error) {
				n, err := strconv.ParseInt(string(b), 10, 64)
				return registry.Searcher{ID: "i", Service: "s", Addr: "127.0.0.1:1", Slots: 1, State: registry.Ready, StartedMs: n, Seq: 1}, err
			}}})
	t.Cleanup(v.Close)
	v.Replace(time.Now(), []follow.Change{{Key: "op/config"}, searcherEntry("1")})
	return v
}

// searcherEntry returns the searcher's entry.
func searcherEntry(startedMs string) follow.Change {
	return follow.Change{Key: "servers/i", Value: []byte(startedMs)}
}

// inUse returns the number of searchers in use.
func (v *storeView) inUse() int { return len(v.Current().Instances["s"]) }

// TestStoreBringsBackLeavingSearcher: a searcher that had said that it is leaving was used
// again when the store, or a restored copy of it, still listed it as ready.
func TestStoreBringsBackLeavingSearcher(t *testing.T) {
	v := newSearcherView(t)
	v.mu.Lock()
	i := v.instances[process{"i", "127.0.0.1:1", 1}]
	v.mu.Unlock()
	i.RecordLeaving()
	for end := time.Now().Add(10 * time.Second); v.inUse() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for name, change := range map[string]func(now time.Time){
		"written again":  func(now time.Time) { v.Apply(now, []follow.Change{searcherEntry("1")}) },
		"read again":     func(now time.Time) { v.Replace(now, []follow.Change{searcherEntry("1")}) },
		"restored store": func(now time.Time) { v.Restored(now); v.Replace(now, []follow.Change{searcherEntry("1")}) },
		"deleted, and written again": func(now time.Time) {
			v.Apply(now, []follow.Change{{Key: "servers/i", Deleted: true}})
			v.Apply(now, []follow.Change{searcherEntry("1")})
		},
	} {
		if change(time.Now()); v.inUse() > 0 {
			t.Errorf("in use: entry %s", name)
		}
	}
	if v.Apply(time.Now(), []follow.Change{searcherEntry("2")}); v.inUse() != 1 {
		t.Error("a new process of the searcher is not used")
	}
}
