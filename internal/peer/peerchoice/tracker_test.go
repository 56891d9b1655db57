package peerchoice

import (
	"testing"
	"time"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	local  = []Peer{{"l1", "a"}, {"l2", "a"}, {"l3", "a"}}
	remote = []Peer{{"r1", "b"}, {"r2", "b"}}
)

// handOver plays a request at a time and returns its VM; empty if there is none.
func handOver(t *Tracker, at time.Duration, outcome func(Peer) Outcome) string {
	now := start.Add(at)
	var tried []Peer
	p, ok := t.Choose(now, "f", append(local, remote...), func(p Peer) bool {
		for _, o := range tried {
			if o == p {
				return true
			}
		}
		return false
	})
	if !ok {
		return ""
	}
	t.Begin(now, p)
	t.End(now, "f", p, outcome(p))
	return p.Addr
}

// TestPrefersVMsThatServe checks that VMs that decline are left alone, and that those
// that serve get the requests, wherever they are.
func TestPrefersVMsThatServe(t *testing.T) {
	k := New(Config{Domain: "a"})
	outcome := func(p Peer) Outcome {
		if p.Addr == "r1" {
			return Served
		}
		return Declined
	}
	got := map[string]int{}
	for n := range 1000 {
		got[handOver(k, time.Duration(n)*time.Millisecond, outcome)]++
	}
	if got["r1"] < 990 || got[""] > 0 {
		t.Errorf("requests by VM: %v", got)
	}
}

// TestSpreadsOverLocalVMs checks that all VMs of the own failure domain share the load,
// and that no other one gets a request.
func TestSpreadsOverLocalVMs(t *testing.T) {
	k := New(Config{Domain: "a"})
	got := map[string]int{}
	for n := range 3000 {
		got[handOver(k, time.Duration(n)*time.Millisecond, func(Peer) Outcome { return Served })]++
	}
	for _, p := range local {
		if got[p.Addr] < 500 {
			t.Errorf("%s got %d of 3000 requests", p.Addr, got[p.Addr])
		}
	}
	if got["r1"]+got["r2"] > 0 {
		t.Errorf("requests by VM: %v", got)
	}
}

// TestSilentDomain checks that a failure domain that does not answer gets one request
// now and then, and all again once it answers.
func TestSilentDomain(t *testing.T) {
	k := New(Config{Domain: "a"})
	cut := true
	outcome := func(p Peer) Outcome {
		switch {
		case p.Domain == "a":
			return Declined
		case cut:
			return Failed
		}
		return Served
	}
	failed := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if got := handOver(k, at, outcome); got == "r1" || got == "r2" {
			failed++
		}
	}
	if failed < 2 || failed > 6 {
		t.Errorf("%d requests were handed to the silent domain in 10 s", failed)
	}
	cut = false
	served := 0
	for at := 13 * time.Second; at < 14*time.Second; at += 10 * time.Millisecond {
		if got := handOver(k, at, outcome); got == "r1" || got == "r2" {
			served++
		}
	}
	if served < 90 {
		t.Errorf("%d of 100 requests were handed to the domain when it answered again", served)
	}
}

// TestPendingRequests checks that a VM that has not answered for a while gets no more
// requests, and one that is slow but answers others does.
func TestPendingRequests(t *testing.T) {
	for answersOthers, want := range map[bool]bool{false: false, true: true} {
		k := New(Config{Domain: "a"})
		k.Begin(start, local[0])
		if answersOthers {
			k.Begin(start.Add(100*time.Millisecond), local[0])
			k.End(start.Add(200*time.Millisecond), "f", local[0], Served)
		}
		now := start.Add(maxSilence + time.Millisecond)
		if _, ok := k.Choose(now, "f", local[:1], func(Peer) bool { return false }); ok != want {
			t.Errorf("the VM answers others: %t; chosen %t", answersOthers, ok)
		}
	}
}
