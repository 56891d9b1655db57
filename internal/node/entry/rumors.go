package entry

import (
	"context"
	"strconv"
	"time"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/peer/rumor"
)

const (
	// suspicionTTL is the lifetime of a rumor about a suspected request.
	suspicionTTL = 10 * time.Minute
	// fingerprintBase is the base of fingerprints in rumor keys.
	fingerprintBase = 16
)

// poisonRumor is the payload of a rumor about a request that crashes searchers.
// It announces a quarantine if HeldMS is above 0, else an incident.
type poisonRumor struct {
	Incident quarantine.Incident `json:"incident"`
	// HeldMS is the duration of the quarantine in milliseconds.
	HeldMS int64 `json:"held_ms,omitempty"`
}

// drainRumor is the payload of a rumor about a draining searcher.
type drainRumor struct {
	// DurationMS is the time in milliseconds during which the searcher gets no new work
	// unless there is fresh evidence.
	DurationMS int64 `json:"for_ms"`
}

// newQuarantine returns a quarantine that shares incidents and quarantined
// requests with the other nodes by rumors.
func (n *Node) newQuarantine() *quarantine.Quarantine {
	topic := rumor.NewTopic[poisonRumor](n.rumors, rumor.Quarantine)
	q := quarantine.New(quarantine.Config{
		Events: n.log,
		OnSuspect: func(fingerprint uint64, i quarantine.Incident) {
			_ = topic.Publish(poisonKey(fingerprint, i.Searcher), poisonRumor{Incident: i}, suspicionTTL)
		},
		OnQuarantine: func(fingerprint uint64, until time.Time) {
			ttl := time.Until(until)
			_ = topic.Publish(poisonKey(fingerprint, ""), poisonRumor{HeldMS: ttl.Milliseconds()}, ttl)
		},
		AwaitPropagation: func(ctx context.Context, _ uint64) { n.membership.Broadcast(ctx) },
	})
	topic.Subscribe(func(m rumor.Message[poisonRumor]) {
		fingerprint, ok := parsePoisonKey(m.Key)
		switch {
		case !ok || m.Origin == n.self.ID:
		case m.Value.HeldMS > 0:
			q.AddRemote(fingerprint, time.Now().Add(m.TTL))
		default:
			q.AddRemoteIncident(fingerprint, m.Value.Incident)
		}
	})
	return q
}

// poisonKey returns the rumor key for a fingerprint and a searcher. The searcher
// is empty for a quarantine.
func poisonKey(fingerprint uint64, searcher string) string {
	return strconv.FormatUint(fingerprint, fingerprintBase) + "/" + searcher
}

// parsePoisonKey returns the fingerprint in a key made by poisonKey, and false if
// the key is not valid.
func parsePoisonKey(key string) (uint64, bool) {
	for i, c := range key {
		if c == '/' {
			fingerprint, err := strconv.ParseUint(key[:i], fingerprintBase, 64)
			return fingerprint, err == nil
		}
	}
	return 0, false
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
