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

// MarshalText writes h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return appendHex(nil, h[:]), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *Hash) UnmarshalText(b []byte) error { return parseHex(h[:], b) }

// Ref names the document of one search.
type Ref struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
	// Written is the revision that the document was written for.
	Written uint64 `json:"written"`
}

// Index is a configuration without its documents.
type Index struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	// Refs are sorted by name.
	Refs []Ref `json:"refs"`
}

// Digest identifies the index among all indexes.
func (x Index) Digest() Hash {
	h := sha256.New()
	b := binary.BigEndian.AppendUint64(nil, x.Revision)
	b = appendString(b, x.ChangeID)
	for _, r := range x.Refs {
		b = appendString(b, r.Name)
		b = append(b, r.Hash[:]...)
		b = binary.BigEndian.AppendUint64(b, r.Written)
	}
	h.Write(b)
	return Hash(h.Sum(nil))
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// Find returns the ref of a search.
func (x Index) Find(name string) (Ref, bool) {
	i, ok := slices.BinarySearchFunc(x.Refs, name, byName)
	if !ok {
		return Ref{}, false
	}
	return x.Refs[i], true
}

func byName(r Ref, name string) int { return strings.Compare(r.Name, name) }

// With returns x after refs were put and searches removed, as the given
// revision.
func (x Index) With(revision uint64, change string, put []Ref, remove []string) Index {
	y := Index{Revision: revision, ChangeID: change, Refs: slices.Clone(x.Refs)}
	for _, r := range put {
		i, ok := slices.BinarySearchFunc(y.Refs, r.Name, byName)
		if ok {
			y.Refs[i] = r
			continue
		}
		y.Refs = slices.Insert(y.Refs, i, r)
	}
	for _, n := range remove {
		if i, ok := slices.BinarySearchFunc(y.Refs, n, byName); ok {
			y.Refs = slices.Delete(y.Refs, i, i+1)
		}
	}
	return y
}

// Valid returns an error when x is not in its normal form.
func (x Index) Valid() error {
	if x.Revision == 0 {
		return errors.NotValidf("revision 0")
	}
	for i, r := range x.Refs {
		if r.Name == "" || r.Written == 0 || r.Written > x.Revision {
			return errors.NotValidf("ref %q", r.Name)
		}
		if i > 0 && x.Refs[i-1].Name >= r.Name {
			return errors.NotValidf("order of refs at %q", r.Name)
		}
	}
	return nil
}

// Document is the definition of one search as stored.
type Document struct {
	Ref  Ref
	Body []byte
}

// Delta leads from one index to another.
type Delta struct {
	// Base is the revision that it starts from; 0 is the empty index.
	Base uint64
	// Revision and ChangeID are those of the target.
	Revision uint64
	ChangeID string
	// Digest is that of the target.
	Digest Hash
	Put    []Document
	Remove []string
}

// Between returns the delta from an index to a later one; docs has the bodies
// by name.
func Between(from, to Index, docs map[string][]byte) Delta {
	d := Delta{Base: from.Revision, Revision: to.Revision, ChangeID: to.ChangeID, Digest: to.Digest()}
	for _, r := range to.Refs {
		if f, ok := from.Find(r.Name); !ok || f != r {
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

// Apply returns the index that d leads to from x, or an error when d does not
// fit or is corrupt.
func (x Index) Apply(d Delta) (Index, error) {
	if d.Base != x.Revision {
		return Index{}, errors.NotValidf("delta from revision %d at %d", d.Base, x.Revision)
	}
	put := make([]Ref, 0, len(d.Put))
	for _, p := range d.Put {
		if HashOf(p.Body) != p.Ref.Hash {
			return Index{}, errors.NotValidf("hash of the document of %q", p.Ref.Name)
		}
		put = append(put, p.Ref)
	}
	y := x.With(d.Revision, d.ChangeID, put, d.Remove)
	if y.Digest() != d.Digest {
		return Index{}, errors.NotValidf("digest of revision %d", d.Revision)
	}
	return y, y.Valid()
}

// equalDocument tells whether the search of a ref has this body already.
func (x Index) equalDocument(name string, body []byte, docs map[string][]byte) bool {
	r, ok := x.Find(name)
	if !ok {
		return false
	}
	return r.Hash == HashOf(body) || bytes.Equal(docs[name], body)
}
