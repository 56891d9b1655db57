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
	byKey  map[digest]keyed
	byName map[string]*Account
}

// keyed is the account of a key.
type keyed struct {
	key     digest
	account *Account
}

// NewIndex returns an index of the accounts, or an error if a name is missing or used twice, or
// if a key belongs to two accounts.
func NewIndex(es []Entry) (*Index, error) {
	x := &Index{byKey: make(map[digest]keyed, len(es)), byName: make(map[string]*Account, len(es))}
	for i := range es {
		a := &es[i].Account
		switch {
		case a.Name == "":
			return nil, errors.Errorf("account %d has no name", i)
		case x.byName[a.Name] != nil:
			return nil, errors.Errorf("two accounts are named %q", a.Name)
		}
		x.byName[a.Name] = a
		for _, key := range es[i].Keys {
			d := digest(sha256.Sum256([]byte(key)))
			if k, ok := x.byKey[d]; ok && k.account != a {
				return nil, errors.Errorf("accounts %q and %q have a key in common", k.account.Name, a.Name)
			}
			x.byKey[d] = keyed{d, a}
		}
	}
	return x, nil
}

// Lookup returns the account of a key. How long it takes tells nothing of the keys, as it looks
// up and compares digests.
func (x *Index) Lookup(key string) (*Account, bool) {
	d := digest(sha256.Sum256([]byte(key)))
	k, ok := x.byKey[d]
	if !ok || subtle.ConstantTimeCompare(d[:], k.key[:]) != 1 {
		return nil, false
	}
	return k.account, true
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
func (x *Index) Len() int { return len(x.byName) }
