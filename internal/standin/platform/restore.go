package platform

import (
	"time"

	"egrethaven/platform/store"
)

// undo tells how to revert a change.
type undo struct {
	at time.Time
	// old is the item that was replaced; its revision is 0 if there was none.
	old store.Item
}

// externalWrite is a write by an operator or a searcher.
type externalWrite struct {
	value   []byte
	deleted bool
}

// Restore is RestoreTo some time ago.
func (p *Platform) Restore(age time.Duration) { p.RestoreTo(time.Now().Add(-age)) }

// RestoreTo brings the store back to its state at a time, as if it was restored from
// a backup: what calls wrote since, and leases granted since, are lost, and revisions are
// given out again. It begins a new era. What operators and searchers wrote with Put and
// Delete is missing until Rewrite.
func (p *Platform) RestoreTo(cutoff time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.undo); n > 0 && p.undo[n-1].at.After(cutoff); n-- {
		i, old := p.history[n-1], p.undo[n-1].old
		if delete(p.items, i.Key); old.Rev != 0 {
			p.items[i.Key] = old
		}
		p.revision = i.Rev - 1
		p.history, p.undo = p.history[:n-1:n-1], p.undo[:n-1]
	}
	for id, l := range p.leases {
		if l.grantedAt.After(cutoff) {
			delete(p.leases, id)
			p.revision = min(p.revision, id-1)
		}
	}
	p.era++
	close(p.changed)
	p.changed = make(chan struct{})
}

// Rewrite writes what operators and searchers have written, where a restore has lost it.
func (p *Platform) Rewrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, w := range p.external {
		i, ok := p.items[key]
		switch {
		case w.deleted:
			p.deleteLocked(key)
		case !ok || string(i.Value) != string(w.value):
			p.setLocked(store.Item{Key: key, Value: w.value})
		}
	}
}

// currentEra returns the era.
func (p *Platform) currentEra() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}
