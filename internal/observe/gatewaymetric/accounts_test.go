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
	a, now, total, others := &accounts{byName: map[string]*accountCounts{}}, time.Now(), int64(0), int64(0)
	for round := range 4 {
		// Account n of a round has n requests, and each round's accounts are others.
		for n := range 100 {
			for range n {
				a.record(fmt.Sprintf("%d-%d", round, n), AccountOutcome(n%int(accountOutcomes)))
				total++
			}
		}
		now = now.Add(rankInterval)
		sum, last, large := int64(0), others, 0
		a.observe(now, func(account, outcome string, n int64) {
			switch {
			case outcome != "asked":
				return
			case account == otherAccounts:
				others = n
			case account >= fmt.Sprintf("%d-80", round):
				large++
			}
			sum += n
		})
		if sum != total || others < last || large != maxNamedAccounts || len(a.byName) > 200 {
			t.Errorf("%d requests reported of %d, others %d after %d, %d large accounts; %d accounts are kept", sum, total, others, last, large, len(a.byName))
		}
	}
}

// TestAccountSeries guards against outcomes that are not on the metrics page.
func TestAccountSeries(t *testing.T) {
	m, err := New(Config{Node: "n", Domain: "d"})
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range []AccountOutcome{AccountServed, AccountServed, AccountOverQuota, AccountRefused, AccountFailed} {
		m.RecordAccount("acme", o)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for outcome, n := range map[string]int{"asked": 5, "served": 2, "over_quota": 1, "refused": 1} {
		if line := fmt.Sprintf(`egrethaven_account_requests_total{account="acme",failure_domain="d",node="n",outcome="%s"} %d`, outcome, n); !strings.Contains(w.Body.String(), line) {
			t.Errorf("%s is missing in\n%s", line, w.Body)
		}
	}
}
