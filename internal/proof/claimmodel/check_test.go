package claimmodel

import (
	"strings"
	"testing"
)

func TestProtocolHolds(t *testing.T) {
	for _, c := range []struct {
		name string
		Config
	}{
		{"two attempts", Config{Attempts: 2, MaxSwaps: 1}},
		{"two attempts and expiry", Config{Attempts: 2, MaxSwaps: 1, WithExpiry: true}},
		{"two attempts and an owner", Config{Attempts: 2, MaxSwaps: 1, WithOwner: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := Check(c.Config)
			if r.Violation != "" {
				t.Fatalf("%s:\n%s", r.Violation, strings.Join(r.Steps, "\n"))
			}
			t.Logf("%d states", r.States)
			if r.States < 10_000 {
				t.Fatalf("only %d states", r.States)
			}
		})
	}
}

// TestEachRuleIsNeeded breaks one rule of the protocol at a time. The checker must
// find the violation.
func TestEachRuleIsNeeded(t *testing.T) {
	for v, want := range map[Variant]string{
		NoRevisionCheck: "the request ran twice",
		Takeover:        "the request ran twice",
		LateDispatch:    "a request reported as not_run ran",
		NoExpiryRecheck: "the request ran twice",
	} {
		c := Config{Attempts: 2, MaxSwaps: 1, WithExpiry: v == NoExpiryRecheck, Variant: v}
		r := Check(c)
		t.Logf("variant %d: %d states, %d steps", v, r.States, len(r.Steps))
		if r.Violation != want {
			t.Errorf("variant %d: got %q, want %q", v, r.Violation, want)
		}
		if len(r.Steps) == 0 {
			t.Errorf("variant %d: no steps", v)
		}
	}
}
