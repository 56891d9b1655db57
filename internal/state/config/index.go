package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Hash is the SHA-256 of a document or an index.
type Hash [sha256.Size]byte

// HashOf returns the hash of a document.
func HashOf(b []byte) Hash { return sha256.Sum256(b) }

// MarshalText encodes h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return appendHex(nil, h[:]), nil }

// UnmarshalText decodes a hexadecimal hash.
func (h *Hash) UnmarshalText(b []byte) error { return parseHex(h[:], b) }

// Ref references the document of one search.
type Ref struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
	// WrittenRevision is the revision that wrote the document.
	WrittenRevision uint64 `json:"written"`
}

// Index lists the documents of a configuration.
type Index struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Refs are sorted by name.
	Refs []Ref `json:"refs"`
}

// Digest returns a hash of all fields of the index.
func (x Index) Digest() Hash {
	h := sha256.New()
	b := binary.BigEndian.AppendUint64(nil, x.Revision)
	b = appendString(b, x.ChangeID)
	for _, r := range x.Refs {
		b = appendString(b, r.Name)
		b = append(b, r.Hash[:]...)
		b = binary.BigEndian.AppendUint64(b, r.WrittenRevision)
	}
	h.Write(b)
	return Hash(h.Sum(nil))
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// Find returns the ref of a search.
func (x Index) Find(name string) (Ref, bool) {
	i, ok := slices.BinarySearchFunc(x.Refs, name, compareName)
	if !ok {
		return Ref{}, false
	}
	return x.Refs[i], true
}

func compareName(r Ref, name string) int { return strings.Compare(r.Name, name) }

// WithChanges returns x as another revision, with refs added or replaced and
// searches removed.
func (x Index) WithChanges(revision uint64, changeID string, put []Ref, remove []string) Index {
	next := Index{Revision: revision, ChangeID: changeID, Refs: slices.Clone(x.Refs)}
	for _, r := range put {
		i, ok := slices.BinarySearchFunc(next.Refs, r.Name, compareName)
		if ok {
			next.Refs[i] = r
			continue
		}
		next.Refs = slices.Insert(next.Refs, i, r)
	}
	for _, n := range remove {
		if i, ok := slices.BinarySearchFunc(next.Refs, n, compareName); ok {
			next.Refs = slices.Delete(next.Refs, i, i+1)
		}
	}
	return next
}

// Validate returns an error if a revision is out of range, or refs are unnamed,
// unsorted or duplicate.
func (x Index) Validate() error {
	if x.Revision == 0 {
		return errors.NotValidf("revision 0")
	}
	for i, r := range x.Refs {
		if r.Name == "" || r.WrittenRevision == 0 || r.WrittenRevision > x.Revision {
			return errors.NotValidf("document reference of search %q", r.Name)
		}
		if i > 0 && x.Refs[i-1].Name >= r.Name {
			return errors.NotValidf("order of document references at search %q", r.Name)
		}
	}
	return nil
}

// Document is the stored definition of one search, in JSON.
type Document struct {
	Ref  Ref
	Body []byte
}

// Delta is the difference between two indexes, with the changed documents.
type Delta struct {
	// Base is the revision of the index to which the delta applies; 0 is the
	// empty index.
	Base uint64
	// Revision and ChangeID are those of the resulting index.
	Revision uint64
	ChangeID string
	// Digest is the digest of the resulting index.
	Digest Hash
	Put    []Document
	Remove []string
}

// NewDelta returns the delta from an index to a later one. docs holds the
// document bodies of to by search name.
func NewDelta(from, to Index, docs map[string][]byte) Delta {
	d := Delta{Base: from.Revision, Revision: to.Revision, ChangeID: to.ChangeID, Digest: to.Digest()}
	for _, r := range to.Refs {
		if old, ok := from.Find(r.Name); !ok || old != r {
			d.Put = append(d.Put, Document{Ref: r, Body: docs[r.Name]})
		}
	}
	for _, r := range from.Refs {
		if _, ok := to.Find(r.Name); !ok {
			d.Remove = append(d.Remove, r.Name)
		}
	}
	return d
}

// ApplyDelta returns the index that results from applying d to x. It returns an
// error if d has another base revision or is corrupt.
func (x Index) ApplyDelta(d Delta) (Index, error) {
	if d.Base != x.Revision {
		return Index{}, errors.NotValidf("delta from revision %d for an index at revision %d", d.Base, x.Revision)
	}
	put := make([]Ref, 0, len(d.Put))
	for _, p := range d.Put {
		if HashOf(p.Body) != p.Ref.Hash {
			return Index{}, errors.NotValidf("hash of the document of search %q", p.Ref.Name)
		}
		put = append(put, p.Ref)
	}
	next := x.WithChanges(d.Revision, d.ChangeID, put, d.Remove)
	if next.Digest() != d.Digest {
		return Index{}, errors.NotValidf("digest of revision %d", d.Revision)
	}
	return next, next.Validate()
}

// hasDocument reports whether the document of a search already has this body.
func (x Index) hasDocument(name string, body []byte, docs map[string][]byte) bool {
	r, ok := x.Find(name)
	if !ok {
		return false
	}
	return r.Hash == HashOf(body) || bytes.Equal(docs[name], body)
}
