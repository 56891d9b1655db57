package platform

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"egrethaven/platform/store"
)

// maxHistory bounds the changes that are kept.
const maxHistory = 4096

// set writes an item and wakes the watches. The lock is held.
func (p *Platform) set(i store.Item) store.Item {
	p.revision++
	i.Rev = p.revision
	p.items[i.Key] = i
	p.note(i)
	return i
}

// unset removes a key and wakes the watches. The lock is held.
func (p *Platform) unset(key string) {
	if _, ok := p.items[key]; !ok {
		return
	}
	delete(p.items, key)
	p.revision++
	p.note(store.Item{Key: key, Rev: p.revision, Deleted: true})
}

// note keeps a change and wakes the watches. The lock is held.
func (p *Platform) note(i store.Item) {
	p.history = append(p.history, i)
	if n := len(p.history) - maxHistory; n > 0 {
		p.dropped = p.history[n-1].Rev
		p.history = slices.Delete(p.history, 0, n)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// txn does all of a change, or nothing. It returns the present items of those
// that are not as expected; ended tells that a lease has.
func (p *Platform) txn(t store.Txn) (rev int64, conflict []store.Item, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
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
		p.unset(key)
	}
	for _, i := range t.Puts {
		p.set(store.Item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	return p.revision, nil, false
}

// look returns a key.
func (p *Platform) look(key string) (store.Item, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	i, ok := p.items[key]
	return i, ok
}

// since returns the changes under a prefix after a revision, the store's
// revision, and the channel that closes at the next change. It reports false if
// the changes are no longer known.
func (p *Platform) since(prefix string, after int64) ([]store.Item, int64, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	if after < p.dropped {
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

// list returns the items that begin with prefix, in order, and the store's
// revision.
func (p *Platform) list(prefix string) ([]store.Item, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	is := []store.Item{}
	for k, i := range p.items {
		if strings.HasPrefix(k, prefix) {
			is = append(is, i)
		}
	}
	slices.SortFunc(is, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return is, p.revision
}

// grant creates a lease.
func (p *Platform) grant(ttl time.Duration) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.leases[p.revision] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return p.revision
}

// renew prolongs a lease that has not lapsed, and returns its time to live.
func (p *Platform) renew(id int64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	l, ok := p.leases[id]
	if ok {
		p.leases[id] = lease{ttl: l.ttl, ends: time.Now().Add(l.ttl)}
	}
	return l.ttl, ok
}

// ExpireLeases ends every lease at once; the leased keys vanish.
func (p *Platform) ExpireLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.leases {
		p.leases[id] = lease{ttl: l.ttl}
	}
	p.lapse()
}

// lapse removes the leases that have ended and their keys. The lock is held.
func (p *Platform) lapse() {
	now := time.Now()
	for id, l := range p.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(p.leases, id)
		for k, i := range p.items {
			if i.Lease == id {
				p.unset(k)
			}
		}
	}
}
