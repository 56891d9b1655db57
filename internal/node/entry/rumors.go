package entry

import (
	"context"
	"time"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/peer/suspects"
)

// drainRumor is the payload of a rumor about a draining searcher.
type drainRumor struct {
	// DurationMS is the time in milliseconds during which the searcher gets no new work
	// unless there is fresh evidence.
	DurationMS int64 `json:"for_ms"`
}

// newQuarantine returns a quarantine that shares incidents and quarantined
// requests with the other nodes by rumors.
func (n *Node) newQuarantine() *quarantine.Quarantine {
	return suspects.New(suspects.Config{Rumors: n.rumors, Quarantine: quarantine.Config{
		Events: n.log, AwaitPropagation: func(ctx context.Context, _ uint64) { n.membership.Broadcast(ctx) },
	}}).Quarantine()
}

// shareDrains subscribes to the rumors of other nodes about draining searchers. It
// returns the hook that publishes a drain detected by this node.
func (n *Node) shareDrains() func(searcher string, until time.Time) {
	topic := rumor.NewTopic[drainRumor](n.rumors, rumor.SearcherDrain)
	topic.Subscribe(func(m rumor.Message[drainRumor]) {
		if m.Origin != n.self.ID && n.directory != nil {
			n.directory.MarkDraining(m.Key, time.Now().Add(m.TTL))
		}
	})
	return func(searcher string, until time.Time) {
		ttl := time.Until(until)
		_ = topic.Publish(searcher, drainRumor{DurationMS: ttl.Milliseconds()}, ttl)
		n.membership.Push(false)
	}
}
