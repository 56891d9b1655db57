package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/routing"
)

// retryAfterOutdated is the Retry-After while the copy of the store is too old to check keys by.
// It is about the time of one call to another relay or the store.
const retryAfterOutdated = time.Second

// client is who sent a request.
type client struct {
	// account is nil if the request has none.
	account *account.Account
	// permit reports whether a permit of the account's quota was taken.
	permit bool
}

// name returns the account's name; empty if there is none.
func (c client) name() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// regions returns the regions whose searchers may run the account's requests; empty means
// all.
func (c client) regions() []string {
	if c.account == nil {
		return nil
	}
	return c.account.Regions
}

// SetMaxKeyAge sets the age of the copy of the store from which on it is too old to check
// keys by, so that requests that need one are refused; 0 for no limit.
func (e *Engine) SetMaxKeyAge(d time.Duration) { e.maxKeyAge.Store(int64(d)) }

// keysOutdated reports whether the copy of the store is too old to check keys by.
func (e *Engine) keysOutdated() bool {
	limit := time.Duration(e.maxKeyAge.Load())
	return limit > 0 && e.c.CopyAge() > limit
}

// identify returns the client of a request by its key, which it moves out of the request's
// header, or by the account that another VM has named. If the request may not be served, it
// returns the reason.
func (e *Engine) identify(q *Request, c *routing.Config, r *routing.Route) (client, Reason) {
	if c.Accounts == nil {
		if q.Account != "" {
			return client{}, UnknownKey
		}
		return client{}, Served
	}
	if key := e.c.Dialect.TakeKey(q.Header); key != "" {
		q.key = key
	}
	if r.Public {
		return client{}, Served
	}
	if e.keysOutdated() {
		return client{}, KeysOutdated
	}
	a, ok := findAccount(q, c.Accounts)
	if !ok {
		return client{}, UnknownKey
	}
	return client{account: a}, Served
}

// findAccount returns the account of a request.
func findAccount(q *Request, x *account.Index) (*account.Account, bool) {
	if q.HandedOver {
		return x.Named(q.Account)
	}
	return x.Lookup(q.key)
}

// stillPermitted reports whether the request may be sent under the configuration in force,
// as it was when the request came. It is called when a request that may have waited is about
// to be sent or handed over. Otherwise the request starts again if nothing was sent.
func (x *dispatch) stillPermitted() bool {
	s := x.engine.c.Current()
	ok := s == nil || s.Config == x.snapshot.Config || x.isPermittedBy(s.Config)
	if ok && x.client.account != nil {
		ok = !x.engine.keysOutdated()
	}
	if !ok {
		x.revoked.Store(true)
	}
	return ok
}

// isPermittedBy reports whether a newer configuration gives the request the same account and
// regions. What else it changes does not concern a request under way.
func (x *dispatch) isPermittedBy(c *routing.Config) bool {
	r, ok := c.Lookup(x.req.Host, x.req.Target)
	if !ok {
		r = x.route
	}
	if !slices.Equal(r.Regions, x.route.Regions) {
		return false
	}
	if x.snapshot.Config.Accounts == nil && c.Accounts != nil {
		// The key is still in the header, where no searcher may get it any more.
		return false
	}
	if c.Accounts == nil || r.Public {
		return true
	}
	a, ok := findAccount(&x.req, c.Accounts)
	return ok && a.Name == x.client.name() && slices.Equal(a.Regions, x.client.regions())
}

// regionFilter returns which failure domains may take the request.
func (x *dispatch) regionFilter() region.Filter {
	return region.New(region.Config{Of: x.engine.c.Region, Own: x.engine.c.Domain, Route: x.route.Regions, Account: x.client.regions()})
}

// permittedInstances returns the searchers of a service that may run the request.
func (x *dispatch) permittedInstances(service string) []*instance.Instance {
	is := x.snapshot.Instances[service]
	if !x.regions.Restricts() {
		return is
	}
	out := make([]*instance.Instance, 0, len(is))
	for _, i := range is {
		if x.regions.PermitsSearcher(i.Searcher().Domain) {
			out = append(out, i)
		}
	}
	return out
}

// takePermit takes a permit of the account's quota, or returns the refusal. The VM to which the
// client has sent the request does so for one that was handed over.
func (x *dispatch) takePermit(ctx context.Context) (Answer, bool) {
	if !x.needsPermit() {
		return Answer{}, true
	}
	q, a := x.engine.c.Quota, x.client.account
	ok, retryAfter := q.Take(ctx, a, x.req.Arrived.Add(x.quotaWait()))
	if ctx.Err() != nil {
		if ok {
			q.Return(a)
		}
		return Answer{Status: statusClientClosed, Reason: ClientGone}, false
	}
	if !ok {
		return overQuota(retryAfter), false
	}
	x.client.permit = true
	return Answer{}, true
}

// needsPermit reports whether the request needs a permit of its account's quota.
func (x *dispatch) needsPermit() bool {
	a := x.client.account
	return x.engine.c.Quota != nil && a != nil && a.Limited() && !x.req.HandedOver
}

// quotaWait returns how long the request may wait for a permit from another VM.
func (x *dispatch) quotaWait() time.Duration {
	o := x.route.LatencyObjective
	if o <= 0 {
		o = defaultObjective
	}
	return quota.MaxWait(o)
}

// overQuota returns the answer to a request for which there is no permit.
func overQuota(retryAfter time.Duration) Answer {
	return Answer{Status: http.StatusTooManyRequests, Reason: OverQuota, RetryAfter: retryAfter}
}

// returnPermit gives the permit back if the request has not run.
func (x *dispatch) returnPermit(a Answer) {
	if x.client.permit && (PromisesNotRun(a.Status) || a.Status == http.StatusUnauthorized && a.Reason == UnknownKey) {
		x.engine.c.Quota.Return(x.client.account)
	}
}

// priority returns the request's priority; 0 is the highest.
func (x *dispatch) priority() int {
	if a := x.client.account; a != nil && a.HasPriority {
		return a.Priority
	}
	return x.route.Priority
}
