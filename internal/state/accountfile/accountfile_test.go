package accountfile_test

import (
	"fmt"
	"strings"
	"testing"

	"egrethaven/internal/state/account"
	"egrethaven/internal/state/accountfile"
	"egrethaven/internal/state/problem"
)

const (
	key1 = "secret-1-0123456789"
	key2 = "secret-2-0123456789=="
	acme = "[account \"acme\"]\napi_keys = " + key1 + ", " + key2 + "\npriority = 2\nrate_per_s = 0.5\nburst = 3\n"
)

// limited is the account of acme.
var limited = account.Account{Name: "acme", Priority: 2, HasPriority: true, RatePerSecond: 0.5, Burst: 3}

// TestParse guards against a file that is accepted although a key would find another account than
// meant or none, and against problems that show a key.
func TestParse(t *testing.T) {
	x, ps := accountfile.Parse("a.ini", []byte(acme+"[account \"b\"]\napi_keys = secret-3-0123456789 # b's\n"))
	for key, want := range map[string]account.Account{key1: limited, key2: limited, "secret-3-0123456789": {Name: "b"}, "secret-1": {}, "": {}} {
		if a, ok := x.Lookup(key); len(ps) > 0 || ok != (want.Name != "") || ok && fmt.Sprint(*a) != fmt.Sprint(want) {
			t.Errorf("key %q: %+v, want %+v; %v", key, a, want, ps)
		}
	}
	for name, text := range map[string]string{
		"empty":               "",
		"comments only":       "# " + key1,
		"no keys":             "[account \"a\"]",
		"empty keys":          "[account \"a\"]\napi_keys =",
		"key twice":           "[account \"a\"]\napi_keys = " + key1 + "," + key1,
		"short key":           "[account \"a\"]\napi_keys = " + key1 + ", secret",
		"space in key":        "[account \"a\"]\napi_keys = secret 1 0123456789",
		"key of two accounts": acme + "[account \"b\"]\napi_keys = " + key1,
		"account twice":       acme + acme,
		"bad name":            "[account \"A b\"]\napi_keys = " + key1,
		"key as section":      "[" + key1 + "]\napi_keys = " + key1,
		"key as account":      "[account \"" + strings.ToUpper(key1) + "\"]\napi_keys = " + key2,
		"key on its own line": acme + key1,
		"key before sections": key2,
		"key as a name":       acme + key2,
		"unknown setting":     acme + "regions = a",
		"priority":            "[account \"a\"]\napi_keys = " + key1 + "\npriority = -1",
		"priority is a key":   "[account \"a\"]\napi_keys = " + key2 + "\npriority 1 = " + key1,
		"rate":                "[account \"a\"]\napi_keys = " + key1 + "\nrate_per_s = -1",
		"burst only":          "[account \"a\"]\napi_keys = " + key1 + "\nburst = 5",
		"too large":           acme + strings.Repeat("#"+key1+"\n", 60000),
	} {
		_, ps := accountfile.Parse("a.ini", []byte(text))
		if len(ps) == 0 {
			t.Errorf("%s: accepted", name)
		}
		if all := strings.Join(problem.Strings(ps), "\n"); strings.Contains(strings.ToLower(all), "secret") {
			t.Errorf("%s: a problem shows a key: %s", name, all)
		}
	}
}
