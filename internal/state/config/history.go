package config

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"egrethaven/internal/platform/kv"
)

// History returns the accepted changes that are kept, oldest first.
func (m *Manager) History(ctx context.Context) ([]HistoryEntry, error) {
	e, st := m.c.Store.Get(ctx, RootKey)
	if st == kv.NotFound {
		return nil, nil
	}
	if st != kv.OK {
		return nil, errors.New("the store was not reached")
	}
	r, err := DecodeRoot(e.Value)
	if err != nil {
		return nil, err
	}
	keys, st := m.c.Store.List(ctx, HistoryPrefix)
	if st != kv.OK && st != kv.NotFound {
		return nil, errors.New("the store was not reached")
	}
	var all []HistoryEntry
	for _, k := range keys {
		p, _, st := m.page(ctx, k.Key)
		if st != kv.OK {
			return nil, errors.Errorf("page %s was not read", k.Key)
		}
		all = append(all, p...)
	}
	return appendNewer(all, r.Recent), nil
}

// appendNewer appends the entries of b that are above the last of a.
func appendNewer(a, b []HistoryEntry) []HistoryEntry {
	var last uint64
	if len(a) > 0 {
		last = a[len(a)-1].Revision
	}
	for _, e := range b {
		if e.Revision > last {
			a = append(a, e)
		}
	}
	return a
}

// page reads one page of the history. An absent page is an empty one.
func (m *Manager) page(ctx context.Context, key string) ([]HistoryEntry, uint64, kv.Status) {
	e, st := m.c.Store.Get(ctx, key)
	if st == kv.NotFound {
		return nil, 0, kv.OK
	}
	if st != kv.OK {
		return nil, 0, st
	}
	var es []HistoryEntry
	if err := json.Unmarshal(e.Value, &es); err != nil {
		m.refuse(key, err)
		return nil, e.Revision, kv.OK
	}
	return es, e.Revision, kv.OK
}

// findApplied returns the revision that a change led to, or 0. It looks at the
// changes named by the root and at the two newest pages.
func (m *Manager) findApplied(ctx context.Context, r Root, id string) (uint64, kv.Status) {
	if e, ok := findChange(r.Recent, id); ok {
		return e.Revision, kv.OK
	}
	rev := r.Index.Revision
	if rev < archiveEvery {
		return 0, kv.OK
	}
	keys := []string{pageKey(rev)}
	if rev >= pageSize {
		keys = append(keys, pageKey(rev-pageSize))
	}
	for _, k := range keys {
		p, _, st := m.page(ctx, k)
		if st != kv.OK {
			return 0, st
		}
		if e, ok := findChange(p, id); ok {
			return e.Revision, kv.OK
		}
	}
	return 0, kv.OK
}

// archive copies the changes that the root names to their pages. It is done
// often enough that none falls out of the root before.
func (m *Manager) archive(ctx context.Context, r Root) bool {
	pages := map[string][]HistoryEntry{}
	for _, e := range r.Recent {
		k := pageKey(e.Revision)
		pages[k] = append(pages[k], e)
	}
	for k, es := range pages {
		if !m.archivePage(ctx, k, es) {
			return false
		}
	}
	return true
}

func (m *Manager) archivePage(ctx context.Context, key string, es []HistoryEntry) bool {
	for i := range swapTries {
		p, at, st := m.page(ctx, key)
		if st == kv.OK {
			n := appendNewer(p, es)
			if len(n) == len(p) {
				return true
			}
			b, err := json.Marshal(n)
			if err != nil {
				return false
			}
			if _, st = m.c.Store.Swap(ctx, key, at, b); st == kv.OK {
				return true
			}
		}
		if !m.pause(ctx, i) {
			return false
		}
	}
	return false
}
