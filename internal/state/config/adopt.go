package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/search"
)

// Source is the origin of a configuration.
type Source string

// The sources.
const (
	FromStore  Source = "store"
	FromPeer   Source = "peer"
	FromChange Source = "change"
)

// ApplyDelta applies a delta from a peer and puts the result in force if it is
// newer, and then returns true. It returns an error if the delta is refused.
func (m *Manager) ApplyDelta(d Delta, peer string) (bool, error) {
	active := m.current.Load()
	if d.Revision <= active.index.Revision {
		return false, m.refuseUnlessSame(d.Revision, d.Digest, active, peer)
	}
	x := active.index
	if d.Base == 0 {
		x = Index{}
	}
	x, err := x.ApplyDelta(d)
	if err != nil {
		m.refuseCorrupt(peer, err)
		return false, err
	}
	docs := make(map[string][]byte, len(d.Put))
	for _, p := range d.Put {
		docs[p.Ref.Name] = p.Body
	}
	return m.adopt(x, docs, FromPeer, peer)
}

// refuseUnlessSame returns nil if a configuration that is not newer is the one
// in force. Otherwise it counts, reports and returns its refusal.
func (m *Manager) refuseUnlessSame(revision uint64, digest Hash, active *activeConfig, from string) error {
	if revision == active.index.Revision && digest == active.index.Digest() {
		return nil
	}
	if revision == active.index.Revision {
		err := errors.NotValidf("different configuration with the same revision %d", revision)
		m.refuseCorrupt(from, err)
		return err
	}
	m.refusedLower.Add(1)
	err := errors.NotValidf("revision %d (below revision %d in force)", revision, active.index.Revision)
	m.c.Events.Emit(event.ConfigRefused, from, err.Error())
	return err
}

// refuseCorrupt counts and reports a corrupt or contradictory value.
func (m *Manager) refuseCorrupt(from string, err error) {
	m.refusedCorrupt.Add(1)
	m.c.Events.Emit(event.ConfigRefused, from, err.Error())
}

// adopt puts the configuration of an index in force if it is newer. docs holds
// the new documents by search name; unchanged ones are taken from the
// configuration in force.
func (m *Manager) adopt(x Index, docs map[string][]byte, source Source, from string) (bool, error) {
	m.adoptMu.Lock()
	defer m.adoptMu.Unlock()
	active := m.current.Load()
	if x.Revision <= active.index.Revision {
		return false, m.refuseUnlessSame(x.Revision, x.Digest(), active, from)
	}
	next, err := m.build(active, x, docs)
	if err != nil {
		m.refuseCorrupt(from, err)
		return false, err
	}
	m.current.Store(next)
	m.adopted.Add(1)
	m.reportAdopted(next, source, from)
	for _, f := range m.subscribers {
		f(next.snapshot, source)
	}
	return true, nil
}

// build returns the configuration of x, reusing the unchanged documents of the
// active one.
func (m *Manager) build(active *activeConfig, x Index, docs map[string][]byte) (*activeConfig, error) {
	next := &activeConfig{index: x, docs: make(map[string][]byte, len(x.Refs))}
	defs := make(map[string]search.Definition, len(x.Refs))
	for _, r := range x.Refs {
		old, ok := active.index.Find(r.Name)
		if ok && old.Hash == r.Hash {
			next.docs[r.Name] = active.docs[r.Name]
			defs[r.Name] = active.snapshot.Searches[r.Name]
			continue
		}
		b := docs[r.Name]
		d, err := decodeDocument(r, b)
		if err != nil {
			return nil, err
		}
		next.docs[r.Name], defs[r.Name] = b, d
	}
	next.snapshot = &Snapshot{Revision: x.Revision, ChangeID: x.ChangeID, Searches: defs, AdoptedAt: time.Now()}
	return next, nil
}

// decodeDocument parses the document of r. It returns an error if the hash or the
// search name does not match.
func decodeDocument(r Ref, b []byte) (search.Definition, error) {
	var d search.Definition
	if HashOf(b) != r.Hash {
		return d, errors.NotValidf("hash of the document of search %q", r.Name)
	}
	if err := json.Unmarshal(b, &d); err != nil {
		return d, errors.Annotatef(err, "decode the document of search %q", r.Name)
	}
	if d.Name != r.Name {
		return d, errors.NotValidf("document of search %q under the name %q", d.Name, r.Name)
	}
	return d, nil
}

func (m *Manager) reportAdopted(next *activeConfig, source Source, from string) {
	number := event.ConfigAdopted
	if source == FromPeer {
		number = event.ConfigFromPeer
	}
	m.c.Events.Emit(number, from, fmt.Sprintf("revision %d, %d searches", next.index.Revision, len(next.index.Refs)))
}
