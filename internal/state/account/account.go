// Package account finds the client account of a request by its key.
//
// An Index is immutable and belongs to one version of the configuration. It does not hold the
// keys themselves, but their SHA-256 digests, so that they cannot get into a log or a dump by
// way of it.
//
// # Usage
//
//	x, err := account.NewIndex([]account.Entry{{Account: account.Account{Name: "acme"}, Keys: []string{"k-1"}}})
//	a, ok := x.Lookup(key)
package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"hash/maphash"

	"github.com/juju/errors"
)

// Account is a client account: callers that share keys, a quota and a priority.
type Account struct {
	Name string
	// Priority replaces that of the route if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst define the quota over all VMs, in requests. There is none if
	// RatePerSecond is 0.
	RatePerSecond float64
	Burst         float64
	// Regions are the regions whose searchers may run requests; empty means all.
	Regions []string
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a.RatePerSecond > 0 }

// Entry is an account with its keys.
type Entry struct {
	Account Account
	Keys    []string
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// Index finds accounts by key or name.
type Index struct {
	seed     maphash.Seed
	accounts []*Account
	byName   map[string]*Account
	// byHash holds the position in keys of the last key with a hash. Neither holds
	// pointers, so that the garbage collector does not scan them.
	byHash map[uint64]uint32
	keys   []keyed
}

// keyed is the account of a key.
type keyed struct {
	digest  digest
	account uint32
	// next is 1 more than the position of another key with the same hash; 0 for none.
	next uint32
}

// NewIndex returns an index of the accounts, or an error like those of Builder.Add.
func NewIndex(es []Entry) (*Index, error) {
	b := NewBuilder()
	for _, e := range es {
		if err := b.Add(e); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return b.Index(), nil
}

// Lookup returns the account of a key. An empty key has none. How long it takes tells nothing
// of the keys: the hash is seeded at random, and digests of equal length are compared.
func (x *Index) Lookup(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	p, ok := x.byHash[maphash.String(x.seed, key)]
	if !ok {
		return nil, false
	}
	d := digest(sha256.Sum256([]byte(key)))
	for n := p + 1; n != 0; n = x.keys[n-1].next {
		if k := &x.keys[n-1]; subtle.ConstantTimeCompare(d[:], k.digest[:]) == 1 {
			return x.accounts[k.account], true
		}
	}
	return nil, false
}

// Named returns the account of that name.
func (x *Index) Named(name string) (*Account, bool) {
	a, ok := x.byName[name]
	return a, ok
}

// Limited returns the accounts that have a quota.
func (x *Index) Limited() []*Account {
	var out []*Account
	for _, a := range x.byName {
		if a.Limited() {
			out = append(out, a)
		}
	}
	return out
}

// Len returns the number of accounts.
func (x *Index) Len() int { return len(x.accounts) }
