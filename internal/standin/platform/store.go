package platform

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"egrethaven/internal/platform/kv"
)

// set writes a key and wakes the watches. The lock is held.
func (p *Platform) set(key string, b []byte, lease string) kv.Entry {
	p.revision++
	p.keys[key] = value{bytes: b, revision: p.revision, lease: lease}
	close(p.changed)
	p.changed = make(chan struct{})
	return kv.Entry{Key: key, Value: b, Revision: p.revision}
}

// swap writes a key if its revision is expect.
func (p *Platform) swap(key string, expect uint64, b []byte, lease string) (kv.Entry, kv.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	if len(b) > kv.MaxValue {
		return kv.Entry{}, kv.TooLarge
	}
	if _, ok := p.leases[lease]; lease != "" && !ok {
		return kv.Entry{}, kv.Absent
	}
	v := p.keys[key]
	if v.revision != expect {
		return kv.Entry{Key: key, Value: v.bytes, Revision: v.revision}, kv.Conflict
	}
	return p.set(key, b, lease), kv.Done
}

// remove deletes a key if its revision is expect.
func (p *Platform) remove(key string, expect uint64) kv.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	v, ok := p.keys[key]
	if !ok {
		return kv.Absent
	}
	if v.revision != expect {
		return kv.Conflict
	}
	delete(p.keys, key)
	return kv.Done
}

// look returns a key and the channel that closes at the next write.
func (p *Platform) look(key string) (kv.Entry, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	v, ok := p.keys[key]
	return kv.Entry{Key: key, Value: v.bytes, Revision: v.revision}, ok, p.changed
}

// list returns the keys that begin with prefix, in order.
func (p *Platform) list(prefix string) []kv.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	es := []kv.Entry{}
	for k, v := range p.keys {
		if strings.HasPrefix(k, prefix) {
			es = append(es, kv.Entry{Key: k, Revision: v.revision})
		}
	}
	slices.SortFunc(es, func(a, b kv.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return es
}

// grant creates a lease.
func (p *Platform) grant(ttl time.Duration) kv.Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := "l-" + strconv.Itoa(p.lastID)
	p.leases[id] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return kv.Lease{ID: id, TTLMS: ttl.Milliseconds()}
}

// renew prolongs a lease that has not lapsed.
func (p *Platform) renew(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	l, ok := p.leases[id]
	if ok {
		p.leases[id] = lease{ttl: l.ttl, ends: time.Now().Add(l.ttl)}
	}
	return ok
}

// LapseLeases ends every lease at once; the leased keys vanish.
func (p *Platform) LapseLeases() {
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
		for k, v := range p.keys {
			if v.lease == id {
				delete(p.keys, k)
			}
		}
	}
}
