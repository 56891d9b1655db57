// Package region decides which failure domains may take a request whose route or client
// account is bound to regions.
//
// A failure domain whose region is not known is in none, so that a request which is bound to
// regions does not get there.
//
// # Usage
//
//	f := region.New(region.Config{Of: m.Of, Own: "sapporo", Route: route.Regions, Account: account.Regions})
//	if f.PermitsSearcher("otaru") { ... }
package region

import "slices"

// Map holds the region of each failure domain.
type Map map[string]string

// Of returns the region of a failure domain; empty if it is not known.
func (m Map) Of(domain string) string { return m[domain] }

// Filter decides which failure domains may take a request. The zero value permits all. It is
// small, as each request holds one and few are bound to regions.
type Filter struct{ r *restriction }

// restriction holds what a Filter goes by.
type restriction struct {
	of  func(domain string) string
	own string
	// sets holds lists of regions; a permitted one is in all of them.
	sets [][]string
}

// Config configures a Filter.
type Config struct {
	// Of returns the region of a failure domain; empty if it is not known. Nil means that
	// none is known.
	Of func(domain string) string
	// Own is the failure domain of this VM.
	Own string
	// Route and Account are the regions of a request's route and client account; an empty
	// list permits all. A permitted region is in both.
	Route, Account []string
}

// New returns a Filter.
func New(c Config) Filter {
	if len(c.Route) == 0 && len(c.Account) == 0 {
		return Filter{}
	}
	r := &restriction{of: c.Of, own: c.Own}
	if r.of == nil {
		r.of = func(string) string { return "" }
	}
	for _, s := range [...][]string{c.Route, c.Account} {
		if len(s) > 0 {
			r.sets = append(r.sets, s)
		}
	}
	return Filter{r}
}

// Restricts reports whether the filter permits less than all failure domains.
func (f Filter) Restricts() bool { return f.r != nil }

// PermitsSearcher reports whether a searcher in a failure domain may run the request.
func (f Filter) PermitsSearcher(domain string) bool {
	return f.r == nil || f.r.permits(f.r.of(domain))
}

// PermitsVM reports whether a VM in a failure domain may take the request over. VMs in the
// region of this VM may, as the request is there already.
func (f Filter) PermitsVM(domain string) bool {
	if f.r == nil || domain == f.r.own {
		return true
	}
	g := f.r.of(domain)
	return g != "" && g == f.r.of(f.r.own) || f.r.permits(g)
}

// permits reports whether a region is known and in all lists.
func (r *restriction) permits(region string) bool {
	for _, s := range r.sets {
		if !slices.Contains(s, region) {
			return false
		}
	}
	return region != ""
}
