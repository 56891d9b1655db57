package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/search"
)

// Source is where a configuration came from.
type Source string

// The sources.
const (
	FromStore  Source = "store"
	FromPeer   Source = "peer"
	FromChange Source = "change"
)

// Offer puts the target of a peer's delta in force if it is newer than what
// is. It returns false with an error when the delta is refused.
func (m *Manager) Offer(d Delta, peer string) (bool, error) {
	h := m.current.Load()
	if d.Revision <= h.index.Revision {
		return false, m.older(d.Revision, d.Digest, h, peer)
	}
	x := h.index
	if d.Base == 0 {
		x = Index{}
	}
	x, err := x.Apply(d)
	if err != nil {
		m.refuse(peer, err)
		return false, err
	}
	docs := make(map[string][]byte, len(d.Put))
	for _, p := range d.Put {
		docs[p.Ref.Name] = p.Body
	}
	return m.adopt(x, docs, FromPeer, peer)
}

// older deals with a revision that is not above the one in force.
func (m *Manager) older(revision uint64, digest Hash, h *held, from string) error {
	if revision == h.index.Revision && digest == h.index.Digest() {
		return nil
	}
	if revision == h.index.Revision {
		err := errors.NotValidf("another configuration of revision %d", revision)
		m.refuse(from, err)
		return err
	}
	m.lower.Add(1)
	err := errors.NotValidf("revision %d below %d in force", revision, h.index.Revision)
	m.c.Events.Emit(event.ConfigRefused, from, err.Error())
	return err
}

// refuse counts and reports a corrupt value.
func (m *Manager) refuse(from string, err error) {
	m.corrupt.Add(1)
	m.c.Events.Emit(event.ConfigRefused, from, err.Error())
}

// adopt puts an index in force. docs has the documents that are new; those of
// the configuration in force are used where the hash is the same.
func (m *Manager) adopt(x Index, docs map[string][]byte, s Source, from string) (bool, error) {
	m.adopting.Lock()
	defer m.adopting.Unlock()
	h := m.current.Load()
	if x.Revision <= h.index.Revision {
		return false, m.older(x.Revision, x.Digest(), h, from)
	}
	n, err := m.build(h, x, docs)
	if err != nil {
		m.refuse(from, err)
		return false, err
	}
	m.current.Store(n)
	m.adopted.Add(1)
	m.report(n, s, from)
	for _, f := range m.watchers {
		f(n.snapshot, s)
	}
	return true, nil
}

// build makes the successor of h.
func (m *Manager) build(h *held, x Index, docs map[string][]byte) (*held, error) {
	n := &held{index: x, docs: make(map[string][]byte, len(x.Refs))}
	defs := make(map[string]search.Definition, len(x.Refs))
	for _, r := range x.Refs {
		old, ok := h.index.Find(r.Name)
		if ok && old.Hash == r.Hash {
			n.docs[r.Name] = h.docs[r.Name]
			defs[r.Name] = h.snapshot.Searches[r.Name]
			continue
		}
		b := docs[r.Name]
		d, err := decodeDocument(r, b)
		if err != nil {
			return nil, err
		}
		n.docs[r.Name], defs[r.Name] = b, d
	}
	n.snapshot = &Snapshot{Revision: x.Revision, ChangeID: x.ChangeID, Searches: defs, Adopted: time.Now()}
	return n, nil
}

// decodeDocument reads a document that has to match its ref.
func decodeDocument(r Ref, b []byte) (search.Definition, error) {
	var d search.Definition
	if HashOf(b) != r.Hash {
		return d, errors.NotValidf("hash of the document of %q", r.Name)
	}
	if err := json.Unmarshal(b, &d); err != nil {
		return d, errors.Annotatef(err, "document of %q", r.Name)
	}
	if d.Name != r.Name {
		return d, errors.NotValidf("document of %q under %q", d.Name, r.Name)
	}
	return d, nil
}

func (m *Manager) report(n *held, s Source, from string) {
	num := event.ConfigAdopted
	if s == FromPeer {
		num = event.ConfigFromPeer
	}
	m.c.Events.Emit(num, from, fmt.Sprintf("revision %d, %d searches", n.index.Revision, len(n.index.Refs)))
}
