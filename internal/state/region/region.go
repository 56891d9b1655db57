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
	// route and account are the regions of Config.
	route, account []string
}

// Exclusion tells why a failure domain may not take a request.
type Exclusion struct {
	// Region is the region of the failure domain; empty if it is not known.
	Region string
	// ByRoute and ByAccount report whose regions do not include it.
	ByRoute, ByAccount bool
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
	r := &restriction{of: c.Of, own: c.Own, route: c.Route, account: c.Account}
	if r.of == nil {
		r.of = func(string) string { return "" }
	}
	return Filter{r}
}

// Restricts reports whether the filter permits less than all failure domains.
func (f Filter) Restricts() bool { return f.r != nil }

// PermitsSearcher reports whether a searcher in a failure domain may run the request.
func (f Filter) PermitsSearcher(domain string) bool {
	_, excluded := f.SearcherExclusion(domain)
	return !excluded
}

// SearcherExclusion returns why a searcher in a failure domain may not run the request; false if
// it may.
func (f Filter) SearcherExclusion(domain string) (Exclusion, bool) {
	if f.r == nil {
		return Exclusion{}, false
	}
	return f.r.exclusion(f.r.of(domain))
}

// PermitsVM reports whether a VM in a failure domain may take the request over. VMs in the
// region of this VM may, as the request is there already.
func (f Filter) PermitsVM(domain string) bool {
	if f.r == nil || domain == f.r.own {
		return true
	}
	g := f.r.of(domain)
	_, excluded := f.r.exclusion(g)
	return g != "" && g == f.r.of(f.r.own) || !excluded
}

// exclusion returns why a region is not permitted; false if it is. One that is not known is in no
// list.
func (r *restriction) exclusion(region string) (Exclusion, bool) {
	excludes := func(list []string) bool {
		return len(list) > 0 && (region == "" || !slices.Contains(list, region))
	}
	e := Exclusion{Region: region, ByRoute: excludes(r.route), ByAccount: excludes(r.account)}
	return e, e.ByRoute || e.ByAccount
}
