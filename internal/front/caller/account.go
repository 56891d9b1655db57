package caller

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/account"
)

// challenge is the WWW-Authenticate header of a response with status 401.
const challenge = `ApiKey realm="egrethaven"`

// accountKey is the key of the client account in a request's context.
type accountKey struct{}

// accountOf returns the client account of a request; nil if it has none.
func accountOf(r *http.Request) *account.Account {
	a, _ := r.Context().Value(accountKey{}).(*account.Account)
	return a
}

// authenticate refuses requests without a known key of a client account, and all while the
// configuration or the accounts are not known. The key is removed from the request, so that
// nothing else can log or forward it.
func (h *handler) authenticate(next http.HandlerFunc) http.HandlerFunc {
	if h.c.Accounts == nil {
		return next
	}
	return func(w http.ResponseWriter, r *http.Request) {
		key := h.c.TakeKey(r.Header)
		x := h.c.Accounts()
		if x == nil || h.lacksConfig(h.c.Snapshot()) {
			writeProblem(w, r, notReadyProblem())
			return
		}
		a, ok := x.Lookup(key)
		if !ok {
			detail := "unknown key"
			if key == "" {
				detail = "no key, or several"
			}
			h.c.Events.Emit(event.KeyRefused, r.RemoteAddr, detail+", "+route(r)+", request "+w.Header().Get(requestIDHeader))
			w.Header().Set("WWW-Authenticate", challenge)
			writeProblem(w, r, problemdetail.New(outcome.NotRun(outcome.UnknownKey), ""))
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, a)))
	}
}

// takePermit takes a permit of the quota of the request's account, or refuses the request and
// returns false.
func (h *handler) takePermit(ctx context.Context, w http.ResponseWriter, r *http.Request, deadline time.Time) bool {
	a := accountOf(r)
	if a == nil || !a.Limited() || h.c.Quota == nil {
		return true
	}
	now := time.Now()
	ok, retryAfter := h.c.Quota.Take(ctx, a, now.Add(quota.MaxWait(deadline.Sub(now))))
	if ok {
		return true
	}
	h.c.Events.Emit(event.QuotaExceeded, a.Name, fmt.Sprintf("%s, retry after %s", route(r), retryAfter.Round(time.Millisecond)))
	d := problemdetail.New(outcome.NotRun(outcome.OverQuota), "")
	d.RetryAfter = int(math.Ceil(retryAfter.Seconds()))
	writeProblem(w, r, d)
	return false
}

// returnPermit gives the permit of a request back if it has not run.
func (h *handler) returnPermit(r *http.Request, o outcome.Outcome) {
	if a := accountOf(r); a != nil && a.Limited() && h.c.Quota != nil && o.Kind == outcome.KindNotRun {
		h.c.Quota.Return(a)
	}
}
