package account_test

import (
	"fmt"
	"testing"

	"egrethaven/internal/state/account"
)

// TestLookup guards against a key that finds another account than its own, or any account
// without being one of its keys.
func TestLookup(t *testing.T) {
	x, err := account.NewIndex([]account.Entry{
		{Account: account.Account{Name: "a", RatePerSecond: 2}, Keys: []string{"key-1", "", "key-2", "key-1"}},
		{Account: account.Account{Name: "b"}, Keys: []string{"key-3"}},
		{Account: account.Account{Name: "c"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"key-1": "a", "key-2": "a", "key-3": "b", "key": "", "key-11": "", "": "", "KEY-1": ""} {
		a, ok := x.Lookup(key)
		if ok != (want != "") || ok && a.Name != want {
			t.Errorf("key %q: got %+v, want %q", key, a, want)
		}
	}
	if a, ok := x.Named("a"); !ok || !a.Limited() || x.Len() != 3 {
		t.Errorf("got %+v of %d accounts", a, x.Len())
	}
}

// TestInvalidAccounts guards against a configuration in which a key or a name is ambiguous.
func TestInvalidAccounts(t *testing.T) {
	a, b := account.Account{Name: "a"}, account.Account{Name: "b"}
	for name, es := range map[string][]account.Entry{
		"no name":       {{Keys: []string{"k"}}},
		"two of a name": {{Account: a}, {Account: a}},
		"key in common": {{Account: a, Keys: []string{"k"}}, {Account: b, Keys: []string{"k"}}},
		"line break":    {{Account: account.Account{Name: "a\r\nX: y"}}},
		"space":         {{Account: account.Account{Name: " a"}}},
	} {
		if _, err := account.NewIndex(es); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// entries returns n accounts of five keys each.
func entries(n int) []account.Entry {
	es := make([]account.Entry, n)
	for i := range es {
		es[i].Account.Name = fmt.Sprintf("account-%05d", i)
		for k := range 5 {
			es[i].Keys = append(es[i].Keys, fmt.Sprintf("key-%05d-%d-0123456789abcdef", i, k))
		}
	}
	return es
}

func BenchmarkLookup(b *testing.B) {
	x, err := account.NewIndex(entries(10_000))
	if err != nil {
		b.Fatal(err)
	}
	for name, key := range map[string]string{"known": "key-04711-3-0123456789abcdef", "unknown": "key-04711-3-0123456789abcdee"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = x.Lookup(key)
			}
		})
	}
}
