package configsync

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"egrethaven/internal/peer/configrpc"
	"egrethaven/internal/platform/fakekv"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// FuzzDelta applies arbitrary decoded deltas to a Manager: a rejected delta must
// come with an error, and an accepted one must be in force unchanged.
func FuzzDelta(f *testing.F) {
	m := config.New(config.Config{Store: fakekv.New(1), Mode: config.Idle})
	defer m.Close()
	m.Apply(f.Context(), config.Change{ID: "a", Put: []search.Definition{{Name: "s"}}})
	x, docs := m.Documents()
	b, err := proto.Marshal(toDelta(config.NewDelta(config.Index{}, x, docs)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var p configrpc.DeltaReply
		if proto.Unmarshal(b, &p) != nil {
			return
		}
		d, err := fromDelta(&p)
		if err != nil {
			return
		}
		m := config.New(config.Config{Store: fakekv.New(1), Mode: config.Idle})
		defer m.Close()
		adopted, err := m.ApplyDelta(d, "peer")
		if adopted != (err == nil) && d.Revision > 0 {
			t.Errorf("ApplyDelta() = %v, %v for revision %d", adopted, err, d.Revision)
		}
		if adopted && (m.Index().Digest() != d.Digest || m.Index().Validate() != nil || len(m.Current().Searches) != len(m.Index().Refs)) {
			t.Errorf("index in force is %+v after delta %+v", m.Index(), d)
		}
	})
}
