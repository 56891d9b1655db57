package region_test

import (
	"testing"

	"egrethaven/internal/state/region"
)

// TestFilter guards against a request that leaves its regions: by a failure domain without a
// region, by a region that only one of route and account permits, or by a handover.
func TestFilter(t *testing.T) {
	m := region.Map{"a": "north", "b": "north", "c": "south", "d": "west", "e": ""}
	for name, c := range map[string]struct {
		route, account []string
		// searchers and vms are the permitted failure domains of those of a to f.
		searchers, vms string
	}{
		"no regions":       {searchers: "abcdef", vms: "abcdef"},
		"route":            {route: []string{"south"}, searchers: "c", vms: "abc"},
		"account":          {account: []string{"south", "west"}, searchers: "cd", vms: "abcd"},
		"both":             {route: []string{"south"}, account: []string{"south", "west"}, searchers: "c", vms: "abc"},
		"nothing in both":  {route: []string{"south"}, account: []string{"west"}, searchers: "", vms: "ab"},
		"region not named": {route: []string{""}, searchers: "", vms: "ab"},
	} {
		f := region.Filter{Of: m.Of, Own: "a"}.With(c.route).With(c.account)
		searchers, vms := "", ""
		for _, domain := range []string{"a", "b", "c", "d", "e", "f"} {
			if f.PermitsSearcher(domain) {
				searchers += domain
			}
			if f.PermitsVM(domain) {
				vms += domain
			}
		}
		if searchers != c.searchers || vms != c.vms {
			t.Errorf("%s: searchers %q, VMs %q, want %q and %q", name, searchers, vms, c.searchers, c.vms)
		}
	}
}
