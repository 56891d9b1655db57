package region_test

import (
	"testing"

	"egrethaven/internal/state/region"
)

// TestFilter guards against a request that leaves its regions: by a failure domain without a
// region, by a region that only one of route and account permits, or by a handover; and against
// a wrong statement of whose list excludes a failure domain.
func TestFilter(t *testing.T) {
	m := region.Map{"a": "north", "b": "north", "c": "south", "d": "west", "e": ""}
	south, both := []string{"south"}, []string{"south", "west"}
	for _, c := range []struct {
		route, account []string
		// searchers and vms are the permitted failure domains of those of a to f.
		searchers, vms string
		// byRoute and byAccount are the failure domains that the lists exclude.
		byRoute, byAccount string
	}{
		{nil, nil, "abcdef", "abcdef", "", ""}, {south, nil, "c", "abc", "abdef", ""}, {nil, both, "cd", "abcd", "", "abef"},
		{south, both, "c", "abc", "abdef", "abef"}, {south, []string{"west"}, "", "ab", "abdef", "abcef"}, {[]string{""}, nil, "", "ab", "abcdef", ""},
	} {
		f := region.New(region.Config{Of: m.Of, Own: "a", Route: c.route, Account: c.account})
		searchers, vms, byRoute, byAccount := "", "", "", ""
		for _, domain := range []string{"a", "b", "c", "d", "e", "f"} {
			if f.PermitsSearcher(domain) {
				searchers += domain
			}
			if f.PermitsVM(domain) {
				vms += domain
			}
			e, _ := f.SearcherExclusion(domain)
			if e.ByRoute {
				byRoute += domain
			}
			if e.ByAccount {
				byAccount += domain
			}
		}
		if searchers != c.searchers || vms != c.vms {
			t.Errorf("%v and %v: searchers %q, VMs %q, want %q and %q", c.route, c.account, searchers, vms, c.searchers, c.vms)
		}
		if byRoute != c.byRoute || byAccount != c.byAccount {
			t.Errorf("%v and %v: excluded by the route %q, by the account %q, want %q and %q", c.route, c.account, byRoute, byAccount, c.byRoute, c.byAccount)
		}
	}
}
