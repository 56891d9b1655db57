package gatewaymetric

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestLargestAccounts guards against a series for each of thousands of accounts, against small
// accounts reported in place of large ones, and against counts that are lost or decrease when
// an account joins or leaves the largest.
func TestLargestAccounts(t *testing.T) {
	a, now := &accounts{byName: map[string]*accountCounts{}}, time.Now()
	total, others := int64(0), int64(0)
	for round := range 4 {
		// Account n of a round has n requests, the largest accounts come last, and each
		// round's are others.
		for n := range 100 {
			for range n + 1 {
				a.record(fmt.Sprintf("%d-%d", round, n), AccountOutcome(n%int(accountOutcomes)))
				total++
			}
		}
		now = now.Add(rankInterval)
		got, sum, last := map[string]int64{}, int64(0), others
		a.observe(now, func(account, outcome string, n int64) {
			if outcome == "asked" {
				got[account], sum = n, sum+n
			}
		})
		if others = got[otherAccounts]; sum != total || others < last {
			t.Errorf("%d requests reported, want %d; others %d after %d", sum, total, others, last)
		}
		if len(got) != maxNamedAccounts+1 {
			t.Errorf("%d series", len(got))
		}
		for n := 80; n < 100; n++ {
			if _, ok := got[fmt.Sprintf("%d-%d", round, n)]; !ok {
				t.Errorf("round %d: account %d is not reported", round, n)
			}
		}
	}
	if len(a.byName) > 200 {
		t.Errorf("%d accounts are kept", len(a.byName))
	}
}

// TestAccountSeries guards against outcomes that are counted as others on the metrics page.
func TestAccountSeries(t *testing.T) {
	m, err := New(Config{Node: "n", Domain: "d"})
	if err != nil {
		t.Fatal(err)
	}
	for o, n := range map[AccountOutcome]int{AccountServed: 5, AccountOverQuota: 3, AccountRefused: 2, AccountFailed: 1} {
		for range n {
			m.RecordAccount("acme", o)
		}
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for outcome, n := range map[string]int{"asked": 11, "served": 5, "over_quota": 3, "refused": 2} {
		if line := fmt.Sprintf(`egrethaven_account_requests_total{account="acme",failure_domain="d",node="n",outcome="%s"} %d`, outcome, n); !strings.Contains(w.Body.String(), line) {
			t.Errorf("%s is missing in\n%s", line, w.Body)
		}
	}
}
