package account

import (
	"crypto/sha256"
	"hash/maphash"
	"strings"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/pace"
)

// pacing keeps the construction of a large index to a tenth of a processor: a VM has 0.19 of a
// core and serves requests meanwhile. MaxPause is a third of the time in which a configuration
// has to be in force.
var pacing = pace.Config{Slice: time.Millisecond, PauseFactor: 9, MaxPause: time.Second}

// Builder builds an Index. It pauses between accounts, so that others can use the processor;
// the time for decoding the next account counts too. It is not safe for concurrent use.
type Builder struct {
	x     *Index
	pacer *pace.Pacer
}

// NewBuilder returns a Builder of an empty index.
func NewBuilder() *Builder {
	return &Builder{pacer: pace.New(pacing), x: &Index{seed: maphash.MakeSeed(), byName: map[string]*Account{}, byHash: map[uint64]uint32{}}}
}

// Add adds an account. It returns an error if the name is missing, is used twice or cannot be
// sent in a header, or if a key belongs to two accounts. Errors do not contain keys. Empty
// keys are ignored, as a request without a key must not get an account.
func (b *Builder) Add(e Entry) error {
	a, x := &e.Account, b.x
	switch {
	case a.Name == "":
		return errors.Errorf("account %d has no name", len(x.accounts))
	case !sendable(a.Name):
		return errors.Errorf("account %d: the name %q cannot be sent in a header", len(x.accounts), a.Name)
	case x.byName[a.Name] != nil:
		return errors.Errorf("two accounts are named %q", a.Name)
	}
	n := uint32(len(x.accounts))
	x.accounts = append(x.accounts, a)
	x.byName[a.Name] = a
	for _, key := range e.Keys {
		if key == "" {
			continue
		}
		if o, ok := x.Lookup(key); ok && o != a {
			return errors.Errorf("accounts %q and %q have a key in common", o.Name, a.Name)
		} else if ok {
			continue
		}
		h := maphash.String(x.seed, key)
		k := keyed{digest: sha256.Sum256([]byte(key)), account: n}
		if p, ok := x.byHash[h]; ok {
			k.next = p + 1
		}
		x.byHash[h] = uint32(len(x.keys))
		x.keys = append(x.keys, k)
	}
	b.pacer.Step()
	return nil
}

// Index returns the index. The Builder is not used afterwards.
func (b *Builder) Index() *Index { return b.x }

// sendable reports whether a text is the same after it was sent as the value of a header.
func sendable(s string) bool {
	return s == strings.TrimSpace(s) && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}
