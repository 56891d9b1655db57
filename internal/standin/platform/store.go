package platform

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"egrethaven/platform/store"
)

// maxHistory is the number of changes kept for watches.
const maxHistory = 4096

// setLocked writes an item under the next revision and wakes the watches. The
// caller holds p.mu.
func (p *Platform) setLocked(i store.Item) store.Item {
	p.revision++
	i.Rev = p.revision
	old := p.items[i.Key]
	p.items[i.Key] = i
	p.recordLocked(i, old)
	return i
}

// deleteLocked removes a key, if present, and wakes the watches. The caller
// holds p.mu.
func (p *Platform) deleteLocked(key string) {
	old, ok := p.items[key]
	if !ok {
		return
	}
	delete(p.items, key)
	p.revision++
	p.recordLocked(store.Item{Key: key, Rev: p.revision, Deleted: true}, old)
}

// recordLocked appends a change to the history, with the item that it replaced, and
// wakes the watches. The caller holds p.mu.
func (p *Platform) recordLocked(i, old store.Item) {
	p.history = append(p.history, i)
	p.undo = append(p.undo, undo{at: time.Now(), old: old})
	if n := len(p.history) - maxHistory; n > 0 {
		p.compacted = p.history[n-1].Rev
		p.history = slices.Delete(p.history, 0, n)
		p.undo = slices.Delete(p.undo, 0, n)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// txn applies a transaction atomically and returns the new revision. If an
// expected revision differs, it changes nothing and returns the current items
// of the expected keys. If a lease has expired, it changes nothing and
// returns leaseExpired.
func (p *Platform) txn(t store.Txn) (rev int64, conflict []store.Item, leaseExpired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpiredLocked()
	ok := true
	for _, e := range t.Expected {
		i := p.items[e.Key]
		i.Key = e.Key
		conflict = append(conflict, i)
		ok = ok && i.Rev == e.Rev
	}
	if !ok {
		return 0, conflict, false
	}
	for _, i := range t.Puts {
		if _, ok := p.leases[i.Lease]; i.Lease != 0 && !ok {
			return 0, nil, true
		}
	}
	for _, key := range t.Deletes {
		p.deleteLocked(key)
	}
	for _, i := range t.Puts {
		p.setLocked(store.Item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	return p.revision, nil, false
}

// get returns the item of a key and whether the key exists.
func (p *Platform) get(key string) (store.Item, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpiredLocked()
	i, ok := p.items[key]
	return i, ok
}

// changesSince returns the changes under a prefix after a revision, the
// store's current revision, and a channel that is closed at the next change.
// It returns false if the history no longer reaches back to that revision.
func (p *Platform) changesSince(prefix string, after int64) ([]store.Item, int64, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpiredLocked()
	if after < p.compacted || after > p.revision {
		return nil, 0, nil, false
	}
	out := []store.Item{}
	n, _ := slices.BinarySearchFunc(p.history, after+1, func(i store.Item, r int64) int { return cmp.Compare(i.Rev, r) })
	for _, i := range p.history[n:] {
		if strings.HasPrefix(i.Key, prefix) {
			out = append(out, i)
		}
	}
	return out, p.revision, p.changed, true
}

// list returns the items whose keys begin with prefix, sorted by key, and the
// store's revision.
func (p *Platform) list(prefix string) ([]store.Item, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpiredLocked()
	items := []store.Item{}
	for k, i := range p.items {
		if strings.HasPrefix(k, prefix) {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, p.revision
}

// grant creates a lease and returns its id.
func (p *Platform) grant(ttl time.Duration) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.leases[p.revision] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl), grantedAt: time.Now()}
	return p.revision
}

// renew extends a lease and returns its time to live, or false if the lease
// has expired.
func (p *Platform) renew(id int64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpiredLocked()
	l, ok := p.leases[id]
	if ok {
		l.expiresAt = time.Now().Add(l.ttl)
		p.leases[id] = l
	}
	return l.ttl, ok
}

// ExpireLeases expires every lease at once and deletes the keys attached to
// them.
func (p *Platform) ExpireLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.leases {
		p.leases[id] = lease{ttl: l.ttl}
	}
	p.removeExpiredLocked()
}

// removeExpiredLocked removes expired leases and the keys attached to them.
// The caller holds p.mu.
func (p *Platform) removeExpiredLocked() {
	now := time.Now()
	for id, l := range p.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(p.leases, id)
		for k, i := range p.items {
			if i.Lease == id {
				p.deleteLocked(k)
			}
		}
	}
}
