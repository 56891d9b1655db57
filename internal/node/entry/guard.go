package entry

import (
	"context"
	"strconv"
	"time"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/peer/rumor"
)

const (
	// suspectTTL is how long the rumor of a suspicion lasts.
	suspectTTL = 10 * time.Minute
	// hexadecimal is the base of fingerprints in the keys of rumors.
	hexadecimal = 16
)

// poison is the payload of a rumor about a request that crashes searchers:
// an incident, or the end of its quarantine when Held is above 0.
type poison struct {
	Incident quarantine.Incident `json:"incident"`
	// HeldMS is for how long the request is held in quarantine.
	HeldMS int64 `json:"held_ms,omitempty"`
}

// drain is the payload of a rumor about a searcher that is leaving.
type drain struct {
	// ForMS is for how long it gets no new work without fresh evidence.
	ForMS int64 `json:"for_ms"`
}

// newGuard returns the quarantine, which tells the other nodes of what
// happens here and hears from them.
func (n *Node) newGuard() *quarantine.Quarantine {
	t := rumor.NewTopic[poison](n.rumors, rumor.Quarantine)
	q := quarantine.New(quarantine.Config{
		Events: n.log,
		OnSuspect: func(f uint64, i quarantine.Incident) {
			_ = t.Publish(poisonKey(f, i.Searcher), poison{Incident: i}, suspectTTL)
		},
		OnQuarantine: func(f uint64, until time.Time) {
			d := time.Until(until)
			_ = t.Publish(poisonKey(f, ""), poison{HeldMS: d.Milliseconds()}, d)
		},
		AwaitPropagation: func(ctx context.Context, _ uint64) { n.members.Broadcast(ctx) },
	})
	t.Subscribe(func(p rumor.Message[poison]) {
		f, ok := poisonPrint(p.Key)
		switch {
		case !ok || p.Origin == n.self.ID:
		case p.Value.HeldMS > 0:
			q.AddRemote(f, time.Now().Add(p.TTL))
		default:
			q.AddRemoteIncident(f, p.Value.Incident)
		}
	})
	return q
}

// poisonKey names a fingerprint and a searcher in a rumor.
func poisonKey(f uint64, searcher string) string {
	return strconv.FormatUint(f, hexadecimal) + "/" + searcher
}

// poisonPrint reads the fingerprint of such a name.
func poisonPrint(key string) (uint64, bool) {
	for i, c := range key {
		if c == '/' {
			f, err := strconv.ParseUint(key[:i], hexadecimal, 64)
			return f, err == nil
		}
	}
	return 0, false
}

// spreadDrains tells the other nodes of searchers that are leaving, and
// hears of them. It returns the hook for own evidence.
func (n *Node) spreadDrains() func(id string, until time.Time) {
	t := rumor.NewTopic[drain](n.rumors, rumor.SearcherDrain)
	t.Subscribe(func(f rumor.Message[drain]) {
		if f.Origin != n.self.ID && n.directory != nil {
			n.directory.MarkDraining(f.Key, time.Now().Add(f.TTL))
		}
	})
	return func(id string, until time.Time) {
		d := time.Until(until)
		_ = t.Publish(id, drain{ForMS: d.Milliseconds()}, d)
		n.members.Push(false)
	}
}
