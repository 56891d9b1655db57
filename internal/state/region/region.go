// Package region decides which failure domains may take a request whose route or client
// account is bound to regions.
//
// A failure domain whose region is not known is in none, so that a request which is bound to
// regions does not get there.
//
// # Usage
//
//	f := region.Filter{Of: m.Of, Own: "sapporo"}.With(route.Regions).With(account.Regions)
//	if f.PermitsSearcher("otaru") { ... }
package region

import "slices"

// Map holds the region of each failure domain.
type Map map[string]string

// Of returns the region of a failure domain; empty if it is not known.
func (m Map) Of(domain string) string { return m[domain] }

// Filter decides which failure domains may take a request. The zero value permits all.
type Filter struct {
	// Of returns the region of a failure domain; empty if it is not known. Nil means that
	// none is known.
	Of func(domain string) string
	// Own is the failure domain of this VM.
	Own string

	// sets holds lists of regions; a permitted one is in all of them.
	sets [2][]string
	n    int
}

// With returns a filter that permits only what f permits in one of the regions; an empty list
// changes nothing. It may be called twice, for the route and for the account.
func (f Filter) With(regions []string) Filter {
	if len(regions) > 0 {
		f.sets[f.n] = regions
		f.n++
	}
	return f
}

// Restricts reports whether the filter permits less than all failure domains.
func (f Filter) Restricts() bool { return f.n > 0 }

// PermitsSearcher reports whether a searcher in a failure domain may run the request.
func (f Filter) PermitsSearcher(domain string) bool {
	if f.n == 0 {
		return true
	}
	r := f.region(domain)
	for _, s := range f.sets[:f.n] {
		if r == "" || !slices.Contains(s, r) {
			return false
		}
	}
	return true
}

// PermitsVM reports whether a VM in a failure domain may take the request over. VMs in the
// region of this VM may, as the request is there already.
func (f Filter) PermitsVM(domain string) bool {
	if f.n == 0 || domain == f.Own {
		return true
	}
	r := f.region(domain)
	return r != "" && r == f.region(f.Own) || f.PermitsSearcher(domain)
}

// region returns the region of a failure domain; empty if it is not known.
func (f Filter) region(domain string) string {
	if f.Of == nil {
		return ""
	}
	return f.Of(domain)
}
