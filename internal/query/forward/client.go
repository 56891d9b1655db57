package forward

import (
	"context"
	"net/http"
	"time"

	"egrethaven/internal/state/account"
	"egrethaven/internal/state/routing"
)

const (
	// maxQuotaWait limits the wait for a permit from another VM, and quotaWaitShare is the
	// share of the latency objective that it may take.
	maxQuotaWait   = 20 * time.Millisecond
	quotaWaitShare = 0.25
)

// client is who sent a request.
type client struct {
	// account is nil if the request has none.
	account *account.Account
	// key is empty if another VM has checked it.
	key string
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

// identify returns the client of a request by its key, which it removes from the request, or by
// the account that another VM has named. It reports false if the key or account is unknown.
func (e *Engine) identify(q *Request, c *routing.Config, r *routing.Route) (client, bool) {
	return identifyKey(q, e.c.Dialect.TakeKey(q.Header), c, r)
}

// identifyKey is identify for a key that was removed from the request.
func identifyKey(q *Request, key string, c *routing.Config, r *routing.Route) (client, bool) {
	if r.Public {
		return client{}, true
	}
	var a *account.Account
	ok := false
	if q.HandedOver {
		a, ok = c.Accounts.Named(q.Account)
		key = ""
	} else {
		a, ok = c.Accounts.Lookup(key)
	}
	return client{account: a, key: key}, ok
}

// stillPermitted reports whether the configuration in force, if it is newer than that of the
// request, has the request's key or account. It is called when a request that may have waited
// is about to be sent.
func (x *dispatch) stillPermitted() bool {
	k := &x.client
	s := x.engine.c.Current()
	if k.account == nil || s == nil || s.Config == x.snapshot.Config || s.Config.Accounts == nil {
		return true
	}
	var a *account.Account
	ok := false
	if k.key == "" {
		a, ok = s.Config.Accounts.Named(k.account.Name)
	} else {
		a, ok = s.Config.Accounts.Lookup(k.key)
	}
	if !ok || a.Name != k.account.Name {
		x.revoked.Store(true)
		return false
	}
	return true
}

// takePermit takes a permit of the account's quota, or returns the refusal. The VM to which the
// client has sent the request does so for one that was handed over.
func (x *dispatch) takePermit(ctx context.Context) (Answer, bool) {
	q, a := x.engine.c.Quota, x.client.account
	if q == nil || a == nil || !a.Limited() || x.req.HandedOver {
		return Answer{}, true
	}
	wait := maxQuotaWait
	if o := x.route.LatencyObjective; o > 0 {
		wait = min(wait, time.Duration(quotaWaitShare*float64(o)))
	}
	ok, retryAfter := q.Take(ctx, a, x.req.Arrived.Add(wait))
	if ctx.Err() != nil {
		if ok {
			q.Return(a)
		}
		return Answer{Status: statusClientClosed, Reason: ClientGone}, false
	}
	if !ok {
		return Answer{Status: http.StatusTooManyRequests, Reason: OverQuota, RetryAfter: retryAfter}, false
	}
	x.client.permit = true
	return Answer{}, true
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
