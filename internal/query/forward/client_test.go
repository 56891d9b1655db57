package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/account"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
)

// accountsFixture is a fixture whose configuration changes while requests are under way.
type accountsFixture struct {
	*fixture
	current atomic.Pointer[Snapshot]
}

// newAccountsFixture returns an engine with the accounts a, with the keys ka and kb, and b,
// with the key kc, a public route /p/ and another one.
func newAccountsFixture(t *testing.T, idempotency routing.Idempotency, searchers ...*fakeSearcher) *accountsFixture {
	private, public := plainRoute(idempotency), plainRoute(idempotency)
	public.Name, public.Prefix, public.Public = "public", "/p/", true
	fx := &accountsFixture{fixture: newFixture(t, []routing.Route{private, public}, map[string][]*fakeSearcher{"s": searchers})}
	fx.engine.c.Current = fx.current.Load
	fx.setAccounts(t, "a:ka,kb b:kc")
	synctest.Wait()
	return fx
}

// setAccounts puts a new version of the configuration in force, with accounts and keys such as
// "a:k1,k2 b:k3"; none if it is empty. Each change may alter the new version.
func (fx *accountsFixture) setAccounts(t *testing.T, accounts string, changes ...func(*routing.Config)) {
	c := *fx.snapshot.Config
	c.Version++
	c.Accounts = nil
	var es []account.Entry
	for e := range strings.FieldsSeq(accounts) {
		name, keys, _ := strings.Cut(e, ":")
		es = append(es, account.Entry{Account: account.Account{Name: name, RatePerSecond: 1}, Keys: strings.Split(keys, ",")})
	}
	if len(es) > 0 {
		var err error
		if c.Accounts, err = account.NewIndex(es); err != nil {
			t.Error(err)
		}
	}
	for _, f := range changes {
		f(&c)
	}
	s := *fx.snapshot
	s.Config = &c
	fx.snapshot = &s
	fx.current.Store(&s)
}

// keyRequest returns a request for a target with a key; none if it is empty.
func keyRequest(target, key string) Request {
	q := newRequest(time.Second)
	q.Target, q.Header = target, http.Header{}
	if key != "" {
		q.Header.Set("Key", key)
	}
	return q
}

// accountQuota counts the permits of each account that are taken.
type accountQuota struct {
	mu     sync.Mutex
	taken  map[string]int
	refuse bool
}

// Take takes a permit unless all are refused.
func (q *accountQuota) Take(_ context.Context, a *account.Account, _ time.Time) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refuse {
		return false, time.Second
	}
	q.taken[a.Name]++
	return true, 0
}

// Return gives a permit back.
func (q *accountQuota) Return(a *account.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken[a.Name]--
}

// TestClientAccounts guards against a request that is served without a key or as another
// account, against a key that gets to a searcher, and against a 401 before there is a
// configuration.
func TestClientAccounts(t *testing.T) {
	for name, c := range map[string]struct {
		target, key string
		// accounts are those of the configuration, "none" for no configuration.
		accounts string
		// named is the account of a request that was handed over.
		named  string
		status int
		// account and arrived are the account and key headers that arrive at the searcher.
		account, arrived string
		permits          string
	}{
		"key":                      {target: "/x", key: "ka", accounts: "a:ka,kb b:kc", status: 200, account: "a", permits: "map[a:1]"},
		"second key":               {target: "/x", key: "kb", accounts: "a:ka,kb b:kc", status: 200, account: "a", permits: "map[a:1]"},
		"other account":            {target: "/x", key: "kc", accounts: "a:ka,kb b:kc", status: 200, account: "b", permits: "map[b:1]"},
		"no key":                   {target: "/x", accounts: "a:ka", status: 401},
		"no key, empty key known":  {target: "/x", accounts: "a:,ka", status: 401},
		"unknown key":              {target: "/x", key: "k", accounts: "a:ka", status: 401},
		"public":                   {target: "/p/x", accounts: "a:ka", status: 200},
		"public, with a key":       {target: "/p/x", key: "ka", accounts: "a:ka", status: 200},
		"no accounts":              {target: "/x", key: "ka", status: 200, arrived: "ka"},
		"no configuration":         {target: "/x", key: "ka", accounts: "none", status: 503},
		"handed over":              {target: "/x", named: "b", accounts: "a:ka b:kb", status: 200, account: "b"},
		"handed over, with a key":  {target: "/x", key: "ka", named: "b", accounts: "a:ka b:kb", status: 200, account: "b"},
		"handed over, unknown":     {target: "/x", named: "c", accounts: "a:ka b:kb", status: 401},
		"handed over, no accounts": {target: "/x", named: "a", status: 401},
		"handed over, not named":   {target: "/x", named: "-", key: "ka", accounts: "a:ka", status: 401},
		"handed over, public":      {target: "/p/x", named: "a", accounts: "a:ka", status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSearcher{id: "s-1", answer: answerAfter(time.Millisecond, "x")}
				fx := newAccountsFixture(t, routing.AtMostOnce, s)
				fx.setAccounts(t, c.accounts)
				if c.accounts == "none" {
					fx.current.Store(nil)
				}
				quota := &accountQuota{taken: map[string]int{}}
				fx.engine.c.Quota = quota
				q := keyRequest(c.target, c.key)
				q.HandedOver, q.Account = c.named != "", strings.Trim(c.named, "-")
				if a := fx.engine.Do(t.Context(), q); a.Status != c.status || s.requests() != map[bool]int{true: 1}[c.status == 200] {
					t.Fatalf("status %d after %d requests, want %d", a.Status, s.requests(), c.status)
				}
				if c.permits == "" {
					c.permits = "map[]"
				}
				if got := fmt.Sprint(quota.taken); got != c.permits {
					t.Errorf("permits %s, want %s", got, c.permits)
				}
				if c.status != http.StatusOK {
					return
				}
				if h := s.received[0].Header; h.Get("Account") != c.account || h.Get("Key") != c.arrived {
					t.Errorf("account %q and key %q arrived, want %q and %q", h.Get("Account"), h.Get("Key"), c.account, c.arrived)
				}
			})
		})
	}
}

// TestQuotaRefusal guards against a request over the quota that is sent.
func TestQuotaRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "s-1", answer: answerAfter(time.Millisecond, "x")}
		fx := newAccountsFixture(t, routing.AtMostOnce, s)
		fx.engine.c.Quota = &accountQuota{refuse: true}
		observed := ""
		fx.engine.c.ObserveAccount = func(account string, r Reason) { observed += account + " " + string(r) }
		if a := fx.engine.Do(t.Context(), keyRequest("/x", "ka")); a.Status != http.StatusTooManyRequests || a.RetryAfter != time.Second || s.requests() > 0 || observed != "a over_quota" {
			t.Errorf("%+v after %d requests, observed %q", a, s.requests(), observed)
		}
	})
}

// TestKeyRemoved guards against a removed key that is still accepted: on a connection that
// is open, and for a request that waits for one. A request whose key was moved to another
// account, or that had none while keys were not needed, is sent under the new configuration.
func TestKeyRemoved(t *testing.T) {
	withRoute := func(change func(*routing.Route)) func(*routing.Config) {
		return func(c *routing.Config) {
			rs := []routing.Route{c.Routes[0]}
			change(&rs[0])
			n, _ := routing.New(c.Version, rs, nil, routing.Limits{})
			n.Accounts = c.Accounts
			*c = *n
		}
	}
	toPublic := withRoute(func(r *routing.Route) { r.Public = true })
	toSouth := withRoute(func(r *routing.Route) { r.Regions = []string{"south"} })
	for name, c := range map[string]struct {
		before, after, key string
		change             func(*routing.Config)
		status             int
		account, permits   string
	}{
		"kept":              {before: "a:ka", after: "a:ka,kb", key: "ka", status: 200, account: "a", permits: "map[a:3]"},
		"removed":           {before: "a:ka,kb", after: "a:kb", key: "ka", status: 401, permits: "map[a:2]"},
		"account removed":   {before: "a:ka b:kb", after: "b:kb", key: "ka", status: 401, permits: "map[a:2]"},
		"moved":             {before: "a:ka b:kb", after: "b:ka", key: "ka", status: 200, account: "b", permits: "map[a:2 b:1]"},
		"accounts appear":   {after: "a:ka", key: "ka", status: 200, account: "a", permits: "map[a:1]"},
		"needed, unknown":   {after: "a:ka", key: "kb", status: 401, permits: "map[]"},
		"accounts end":      {before: "a:ka", key: "ka", status: 200, account: "a", permits: "map[a:3]"},
		"route gets public": {before: "a:ka", after: "a:kb", change: toPublic, key: "ka", status: 200, account: "a", permits: "map[a:3]"},
		"route is bound":    {before: "a:ka", after: "a:ka", change: toSouth, key: "ka", status: 503, permits: "map[a:2]"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeSearcher{id: "s-1", answer: answerAfter(100*time.Millisecond, "x")}
				fx := newAccountsFixture(t, routing.AtMostOnce, s)
				fx.setAccounts(t, c.before)
				quota := &accountQuota{taken: map[string]int{}}
				fx.engine.c.Quota = quota
				// Two requests take both connections to the searcher, and a third one waits.
				statuses := make(chan int, 3)
				for range 2 {
					go func() { statuses <- fx.engine.Do(t.Context(), keyRequest("/x", c.key)).Status }()
				}
				synctest.Wait()
				go func() { statuses <- -fx.engine.Do(t.Context(), keyRequest("/x", c.key)).Status }()
				synctest.Wait()
				change := c.change
				if change == nil {
					change = func(*routing.Config) {}
				}
				fx.setAccounts(t, c.after, change)
				got := map[int]int{}
				for range 3 {
					got[<-statuses]++
				}
				if got[200] != 2 || got[-c.status] != 1 {
					t.Errorf("statuses %v, want -%d for the request that waited", got, c.status)
				}
				if n := s.requests(); n != map[bool]int{true: 3, false: 2}[c.status == 200] {
					t.Errorf("%d requests arrived", n)
				}
				if c.status == 200 {
					if h := s.received[2].Header; h.Get("Account") != c.account || h.Get("Key") != "" {
						t.Errorf("account %q and key %q arrived, want %q", h.Get("Account"), h.Get("Key"), c.account)
					}
				}
				if got := fmt.Sprint(quota.taken); got != c.permits {
					t.Errorf("permits %s, want %s", got, c.permits)
				}
				if first, _ := fx.engine.budgetFor("s").Usage(time.Now()); first != 3 {
					t.Errorf("%d first sends were counted, want 3", first)
				}
				// The connections stay open.
				if a := fx.engine.Do(t.Context(), keyRequest("/x", c.key)); a.Status != c.status {
					t.Errorf("status %d later, want %d", a.Status, c.status)
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
			return fakeAnswer{delay: 50 * time.Millisecond, status: http.StatusInternalServerError, body: "fault"}
		}
		ss := []*fakeSearcher{{id: "s-1", answer: fail}, {id: "s-2", answer: fail}}
		fx := newAccountsFixture(t, routing.Idempotent, ss...)
		time.AfterFunc(20*time.Millisecond, func() { fx.setAccounts(t, "b:kc") })
		a := fx.engine.Do(t.Context(), keyRequest("/x", "ka"))
		if a.Status != http.StatusInternalServerError || ss[0].requests()+ss[1].requests() != 1 {
			t.Errorf("status %d after %d requests", a.Status, ss[0].requests()+ss[1].requests())
		}
	})
}

// TestHandOverOfAccount guards against a handover with the key, without the account, or after
// the key was removed.
func TestHandOverOfAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newAccountsFixture(t, routing.AtMostOnce)
		got := fx.recordHandovers()
		if a := fx.engine.Do(t.Context(), keyRequest("/x", "ka")); a.Status != http.StatusOK || len(*got) != 1 {
			t.Fatalf("status %d after %d handovers", a.Status, len(*got))
		}
		if h := (*got)[0]; h.Account != "a" || strings.Contains(fmt.Sprintf("%+v", h.Request), "ka") {
			t.Errorf("handed over as %+v", h)
		}
		// The configuration changes while the searchers of a request are looked for.
		s := fx.current.Load()
		calls := 0
		fx.engine.c.Current = func() *Snapshot {
			if calls++; calls == 1 {
				return s
			}
			return fx.current.Load()
		}
		fx.setAccounts(t, "b:kc")
		if a := fx.engine.Do(t.Context(), keyRequest("/x", "ka")); a.Status != http.StatusUnauthorized || len(*got) != 1 {
			t.Errorf("status %d after %d handovers, want 401 after 1", a.Status, len(*got))
		}
	})
}

// TestOutdatedKeys guards against a VM that serves by keys that may have been removed long
// ago though it is told not to, and against one that refuses what needs no key.
func TestOutdatedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "s-1", answer: answerAfter(100*time.Millisecond, "x")}
		fx := newAccountsFixture(t, routing.AtMostOnce, s)
		var copyAge atomic.Int64
		fx.engine.c.CopyAge = func() time.Duration { return time.Duration(copyAge.Load()) }
		for _, c := range []struct {
			age, limit  time.Duration
			target, key string
			status      int
		}{
			{age: time.Hour, target: "/x", key: "ka", status: 200},
			{age: 5 * time.Second, limit: 5 * time.Second, target: "/x", key: "ka", status: 200},
			{age: 5001 * time.Millisecond, limit: 5 * time.Second, target: "/x", key: "ka", status: 503},
			{age: 5001 * time.Millisecond, limit: 5 * time.Second, target: "/x", key: "k", status: 503},
			{age: time.Hour, limit: 5 * time.Second, target: "/p/x", status: 200},
		} {
			copyAge.Store(int64(c.age))
			fx.engine.SetMaxKeyAge(c.limit)
			if a := fx.engine.Do(t.Context(), keyRequest(c.target, c.key)); a.Status != c.status || (a.RetryAfter > 0) != (c.status == 503) {
				t.Errorf("%+v: %d, retry after %s", c, a.Status, a.RetryAfter)
			}
		}
		// The copy gets too old while the last one of three requests waits for a connection.
		copyAge.Store(0)
		statuses := make(chan int, 3)
		for range 3 {
			go func() { statuses <- fx.engine.Do(t.Context(), keyRequest("/x", "ka")).Status }()
		}
		synctest.Wait()
		copyAge.Store(int64(time.Hour))
		if n := <-statuses + <-statuses + <-statuses; n != 200+200+503 {
			t.Errorf("sum of the statuses %d", n)
		}
	})
}

// TestRegions guards against a request that is sent or handed over outside of its regions.
func TestRegions(t *testing.T) {
	regions := region.Map{"a": "north", "b": "south"}
	for name, c := range map[string]struct {
		route, account []string
		// arrived are the failure domains that may get requests, "-" if they are handed over.
		arrived string
	}{
		"none":    {arrived: "ab"},
		"account": {account: []string{"south"}, arrived: "b"},
		"route":   {route: []string{"north"}, arrived: "a"},
		"both":    {route: []string{"north"}, account: []string{"south"}, arrived: "-"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near := &fakeSearcher{id: "s-a", answer: answerAfter(20*time.Millisecond, "x")}
				fx := newAccountsFixture(t, routing.AtMostOnce, near)
				far := &fakeSearcher{id: "s-b", answer: near.answer, stop: make(chan struct{}), slotSem: make(chan struct{}, 1)}
				fx.searchers["s-b"] = far
				i := fx.connect("vm-0", registry.Searcher{ID: "s-b", Service: "s", Addr: "s-b", Domain: "b", Slots: 2, State: registry.Ready})
				defer i.Close()
				fx.snapshot.Instances["s"] = append(fx.snapshot.Instances["s"], i)
				fx.engine.c.Region = regions.Of
				fx.setAccounts(t, "a:ka", func(n *routing.Config) {
					a, _ := n.Accounts.Named("a")
					a.Regions = c.account
					r, _ := n.Lookup("h", "/x")
					r.Regions = c.route
				})
				got := fx.recordHandovers()
				synctest.Wait()
				done := make(chan int, 8)
				for range cap(done) {
					go func() { done <- fx.engine.Do(t.Context(), keyRequest("/x", "ka")).Status }()
				}
				for range cap(done) {
					if status := <-done; status != http.StatusOK {
						t.Errorf("status %d", status)
					}
				}
				arrived := strings.Repeat("a", min(near.requests(), 1)) + strings.Repeat("b", min(far.requests(), 1)) + strings.Repeat("-", min(len(*got), 1))
				if arrived != c.arrived {
					t.Errorf("arrived at %q, want %q", arrived, c.arrived)
				}
				if len(*got) > 0 && ((*got)[0].Regions.PermitsVM("b") || !(*got)[0].Regions.PermitsVM("a")) {
					t.Error("handed over to any region")
				}
			})
		})
	}
}
