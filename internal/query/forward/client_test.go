package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/query/explain"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
)

// accountsFixture is a fixture whose configuration changes while requests are under way. It
// counts the permits of each account that are taken.
type accountsFixture struct {
	*fixture
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	permits map[string]int
}

// newAccountsFixture returns an engine with a private route and the public one /p/.
func newAccountsFixture(t *testing.T, accounts string, searchers ...*fakeSearcher) *accountsFixture {
	fx := &accountsFixture{permits: map[string]int{}, fixture: newFixture(t, []routing.Route{plainRoute(routing.AtMostOnce)}, map[string][]*fakeSearcher{"s": searchers})}
	fx.engine.c.Current, fx.engine.c.Quota = fx.current.Load, fx
	fx.setConfig(accounts, routing.Route{})
	synctest.Wait()
	return fx
}

// setConfig puts a new version in force, with accounts and keys such as "a:k1,k2 b:k3"; none
// if it is empty. Public and Regions of the private route are those of r, and Regions of all
// accounts those of its Shards.
func (fx *accountsFixture) setConfig(accounts string, r routing.Route) {
	private, public := plainRoute(routing.AtMostOnce), plainRoute(routing.AtMostOnce)
	private.Public, private.Regions, public.Prefix, public.Public = r.Public, r.Regions, "/p/", true
	s := *fx.snapshot
	s.Config, _ = routing.New(s.Config.Version+1, []routing.Route{private, public}, nil, routing.Limits{})
	var es []account.Entry
	for e := range strings.FieldsSeq(accounts) {
		name, keys, _ := strings.Cut(e, ":")
		es = append(es, account.Entry{Account: account.Account{Name: name, RatePerSecond: 1, Regions: r.Shards}, Keys: strings.Split(keys, ",")})
	}
	if len(es) > 0 {
		s.Config.Accounts, _ = account.NewIndex(es)
	}
	fx.snapshot = &s
	fx.current.Store(&s)
}

// Take takes a permit, which the account "poor" does not get.
func (fx *accountsFixture) Take(_ context.Context, a *account.Account, _ time.Time) (bool, time.Duration) {
	return a.Name != "poor", fx.count(a, 1)
}

// WouldTake returns what Take would do.
func (fx *accountsFixture) WouldTake(a *account.Account) quota.Outlook {
	if a.Name == "poor" {
		return quota.Outlook{RetryAfter: time.Second}
	}
	return quota.Outlook{OK: true, Lots: []quota.Lot{{Permits: 3, For: time.Second}}}
}

// Return gives a permit back.
func (fx *accountsFixture) Return(a *account.Account) { fx.count(a, -1) }

// count adds n to the permits of an account, and returns a Retry-After.
func (fx *accountsFixture) count(a *account.Account, n int) time.Duration {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.permits[a.Name] += n
	return time.Second
}

// ask sends a request with a key, or none if it is empty, and returns the status.
func (fx *accountsFixture) ask(t *testing.T, target, key string) int {
	q := newRequest(time.Second)
	q.Target, q.Header = target, http.Header{}
	if key != "" {
		q.Header.Set("Key", key)
	}
	if name, ok := strings.CutPrefix(key, "handed over:"); ok {
		q.HandedOver, q.Account = true, name
	}
	return fx.engine.Do(t.Context(), q).Status
}

// TestClientAccounts guards against a request that is served without a key, by an outdated
// copy or as another account, against a key that gets to a searcher, and against a 401 before
// there is a configuration.
func TestClientAccounts(t *testing.T) {
	for name, c := range map[string]struct {
		target, key, accounts string
		copyAge               time.Duration
		status                int
		// arrived are the account and the key that arrive at the searcher.
		arrived string
	}{
		"key":                      {"/x", "ka", "a:ka,kb b:kc", 0, 200, "a "},
		"second key":               {"/x", "kb", "a:ka,kb b:kc", 5 * time.Second, 200, "a "},
		"other account":            {"/x", "kc", "a:ka,kb b:kc", 0, 200, "b "},
		"no key":                   {"/x", "", "a:,ka", 0, 401, ""},
		"unknown key":              {"/x", "k", "a:ka", 0, 401, ""},
		"over quota":               {"/x", "ka", "poor:ka", 0, 429, ""},
		"public, with a key":       {"/p/x", "ka", "a:ka", time.Hour, 200, " "},
		"no accounts":              {"/x", "ka", "", time.Hour, 200, " ka"},
		"no configuration":         {"/x", "ka", "none:ka", 0, 503, ""},
		"outdated":                 {"/x", "ka", "a:ka", 5001 * time.Millisecond, 503, ""},
		"handed over":              {"/x", "handed over:b", "a:ka b:kb", 0, 200, "b "},
		"handed over, no quota":    {"/x", "handed over:poor", "poor:ka", 0, 200, "poor "},
		"handed over, unknown":     {"/x", "handed over:c", "a:ka b:kb", 0, 401, ""},
		"handed over, no accounts": {"/x", "handed over:a", "", 0, 401, ""},
		"handed over, not named":   {"/x", "handed over:", "a:ka", 0, 401, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSearcher{id: "s-1", answer: answerAfter(time.Millisecond, "x")}
				fx := newAccountsFixture(t, c.accounts, s)
				fx.engine.c.CopyAge = func() time.Duration { return c.copyAge }
				fx.engine.SetMaxKeyAge(5 * time.Second)
				if strings.HasPrefix(c.accounts, "none") {
					fx.current.Store(nil)
				}
				if !strings.HasPrefix(c.key, "handed over") {
					r := fx.engine.Explain(explain.Query{Method: http.MethodGet, Host: "h", Path: c.target, Key: c.key})
					if r.Admitted != (c.status == http.StatusOK) || (len(r.Shards) > 0) != (r.DeadlineMS > 0) || !r.Admitted && r.Status != c.status || len(fx.permits) > 0 {
						t.Errorf("explained as %+v, with permits %v", r, fx.permits)
					}
					if held := r.QuotaNext == explain.PermitHeld; held != (len(r.QuotaPermits) > 0) || held != (r.Admitted && r.Account != "") {
						t.Errorf("quota explained as %s, %v", r.QuotaNext, r.QuotaPermits)
					}
				}
				status, arrived := fx.ask(t, c.target, c.key), ""
				if s.requests() > 0 {
					arrived = s.received[0].Header.Get("Account") + " " + s.received[0].Header.Get("Key")
				}
				if status != c.status || arrived != c.arrived {
					t.Errorf("status %d, %q arrived, want %d and %q", status, arrived, c.status, c.arrived)
				}
			})
		})
	}
}

// TestKeyRemoved guards against a removed key that is still accepted: on a connection that
// is open, and for a request that waits for one. A request whose key was moved to another
// account, or that needed none before, is sent under the new configuration.
func TestKeyRemoved(t *testing.T) {
	south := []string{"south"}
	for name, c := range map[string]struct {
		before, after, key string
		route              routing.Route
		copyAge            time.Duration
		status             int
		account, permits   string
	}{
		"kept":              {before: "a:ka", after: "a:ka,kb", key: "ka", status: 200, account: "a", permits: "map[a:3]"},
		"removed":           {before: "a:ka,kb", after: "a:kb", key: "ka", status: 401, permits: "map[a:2]"},
		"account removed":   {before: "a:ka b:kb", after: "b:kb", key: "ka", status: 401, permits: "map[a:2]"},
		"moved":             {before: "a:ka b:kb", after: "b:ka", key: "ka", status: 200, account: "b", permits: "map[a:2 b:1]"},
		"accounts appear":   {after: "a:ka", key: "ka", status: 200, account: "a", permits: "map[a:1]"},
		"public, accounts":  {after: "a:ka", route: routing.Route{Public: true}, key: "ka", status: 200, permits: "map[]"},
		"needed, unknown":   {after: "a:ka", key: "kb", status: 401, permits: "map[]"},
		"accounts end":      {before: "a:ka", key: "ka", status: 200, account: "a", permits: "map[a:3]"},
		"route gets public": {before: "a:ka", after: "a:kb", route: routing.Route{Public: true}, key: "ka", status: 200, account: "a", permits: "map[a:3]"},
		"route is bound":    {before: "a:ka", after: "a:ka", route: routing.Route{Regions: south}, key: "ka", status: 503, permits: "map[a:2]"},
		"account is bound":  {before: "a:ka", after: "a:ka", route: routing.Route{Shards: south}, key: "ka", status: 503, permits: "map[a:2]"},
		"outdated":          {before: "a:ka", after: "a:ka", copyAge: time.Hour, key: "ka", status: 503, permits: "map[a:2]"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSearcher{id: "s-1", answer: answerAfter(100*time.Millisecond, "x")}
				fx := newAccountsFixture(t, c.before, s)
				var copyAge atomic.Int64
				fx.engine.c.CopyAge = func() time.Duration { return time.Duration(copyAge.Load()) }
				fx.engine.SetMaxKeyAge(time.Second)
				// Two requests take both connections to the searcher, and a third one waits.
				statuses := make(chan int, 3)
				for range cap(statuses) {
					go func() { statuses <- fx.ask(t, "/x", c.key) }()
					synctest.Wait()
				}
				fx.setConfig(c.after, c.route)
				copyAge.Store(int64(c.copyAge))
				if sum := <-statuses + <-statuses + <-statuses; sum != 2*http.StatusOK+c.status {
					t.Errorf("sum of the statuses %d, want %d for the request that waited", sum, c.status)
				}
				if n := s.requests(); n != map[bool]int{true: 3, false: 2}[c.status == 200] {
					t.Errorf("%d requests arrived", n)
				} else if h := s.received[n-1].Header; n == 3 && (h.Get("Account") != c.account || h.Get("Key") != "") {
					t.Errorf("account %q and key %q arrived, want %q", h.Get("Account"), h.Get("Key"), c.account)
				}
				first, _ := fx.engine.budgetFor("s").Usage(time.Now())
				if got := fmt.Sprint(fx.permits); got != c.permits || first != 3 {
					t.Errorf("permits %s, want %s; %d first sends were counted, want 3", got, c.permits, first)
				}
				// The connections stay open.
				if status := fx.ask(t, "/x", c.key); status != c.status {
					t.Errorf("status %d later, want %d", status, c.status)
				}
			})
		})
	}
}

// TestKeyRemovedBeforeRetry guards against a retry with a removed key, and against a 401 for
// a request that may have run.
func TestKeyRemovedBeforeRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fail := func(int, *http.Request) fakeAnswer {
			return fakeAnswer{delay: 50 * time.Millisecond, status: http.StatusInternalServerError}
		}
		ss := []*fakeSearcher{{id: "s-1", answer: fail}, {id: "s-2", answer: fail}}
		fx := newAccountsFixture(t, "a:ka", ss...)
		fx.current.Load().Config.Routes[0].Idempotency = routing.Idempotent
		time.AfterFunc(20*time.Millisecond, func() { fx.setConfig("b:kc", routing.Route{}) })
		if status := fx.ask(t, "/x", "ka"); status != http.StatusInternalServerError || ss[0].requests()+ss[1].requests() != 1 {
			t.Errorf("status %d after %d requests", status, ss[0].requests()+ss[1].requests())
		}
	})
}

// TestHandOverOfAccount guards against a handover with the key, without the account, or after
// the key was removed.
func TestHandOverOfAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newAccountsFixture(t, "a:ka")
		got := fx.recordHandovers()
		if status := fx.ask(t, "/x", "ka"); status != http.StatusOK || len(*got) != 1 || (*got)[0].Account != "a" || strings.Contains(fmt.Sprintf("%+v", (*got)[0].Request), "ka") {
			t.Fatalf("status %d, handed over as %+v", status, *got)
		}
		// The configuration changes after the request was routed.
		s, calls := fx.current.Load(), 0
		fx.engine.c.Current = func() *Snapshot {
			if calls++; calls == 1 {
				return s
			}
			return fx.current.Load()
		}
		fx.setConfig("b:kc", routing.Route{})
		if status := fx.ask(t, "/x", "ka"); status != http.StatusUnauthorized || len(*got) != 1 {
			t.Errorf("status %d after %d handovers, want 401 after 1", status, len(*got))
		}
	})
}

// TestRegions guards against a request that is sent or handed over outside of its regions.
func TestRegions(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	for _, c := range []struct {
		route, account []string
		// arrived are the failure domains that get requests, "-" if they are handed over, and
		// explained those that explain says get none, with the owners of the lists.
		arrived, explained string
	}{{nil, nil, "ab", "bother_domain"}, {nil, south, "b", "a[account]"}, {north, nil, "a", "b[route]"}, {north, south, "-", "a[account]b[route]"}} {
		synctest.Test(t, func(t *testing.T) {
			near := &fakeSearcher{id: "s-a", answer: answerAfter(20*time.Millisecond, "x")}
			fx := newAccountsFixture(t, "a:ka", near)
			far := &fakeSearcher{id: "s-b", answer: near.answer, stop: make(chan struct{}), slotSem: make(chan struct{}, 1)}
			fx.searchers["s-b"] = far
			i := fx.connect("vm-0", registry.Searcher{ID: "s-b", Service: "s", Addr: "s-b", Domain: "b", Slots: 2, State: registry.Ready})
			defer i.Close()
			fx.snapshot.Instances["s"] = append(fx.snapshot.Instances["s"], i)
			fx.engine.c.Region = region.Map{"a": "north", "b": "south"}.Of
			fx.setConfig("a:ka", routing.Route{Regions: c.route, Shards: c.account})
			got := fx.recordHandovers()
			synctest.Wait()
			explained := ""
			r := fx.engine.Explain(explain.Query{Method: http.MethodGet, Host: "h", Path: "/x", Key: "ka"})
			for _, s := range r.Shards[0].Searchers {
				if len(s.ExcludedBy) > 0 && !s.Chosen && s.Why != "" {
					explained += fmt.Sprint(s.Domain, s.ExcludedBy)
				}
				for _, d := range s.Later {
					explained += s.Domain + string(d.Cause)
				}
			}
			if explained != c.explained || !slices.Equal(r.RouteRegions, c.route) || !slices.Equal(r.AccountRegions, c.account) {
				t.Errorf("%v and %v: explained as %q, want %q", c.route, c.account, explained, c.explained)
			}
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() { fx.ask(t, "/x", "ka") })
			}
			wg.Wait()
			arrived := strings.Repeat("a", min(near.requests(), 1)) + strings.Repeat("b", min(far.requests(), 1)) + strings.Repeat("-", min(len(*got), 1))
			if arrived != c.arrived || len(*got) > 0 && (*got)[0].Regions.PermitsVM("b") {
				t.Errorf("%v and %v: arrived at %q, want %q", c.route, c.account, arrived, c.arrived)
			}
		})
	}
}
