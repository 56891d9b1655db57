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
		{"two sends", Config{Attempts: 2, Swaps: 1}},
		{"expiry", Config{Attempts: 2, Swaps: 1, Expiry: true}},
		{"an owner as well", Config{Attempts: 2, Swaps: 1, Owner: true}},
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

// TestEachRuleIsNeeded leaves out one rule at a time; the check must notice.
func TestEachRuleIsNeeded(t *testing.T) {
	for v, want := range map[Variant]string{
		NoGuard:      "ran twice",
		Takeover:     "ran twice",
		LateDispatch: "not_run was told of a run",
		NoRecheck:    "ran twice",
	} {
		c := Config{Attempts: 2, Swaps: 1, Expiry: v == NoRecheck, Variant: v}
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
