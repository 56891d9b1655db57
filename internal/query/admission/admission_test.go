package admission_test

import (
	"slices"
	"testing"
	"time"

	"egrethaven/internal/query/admission"
)

// shard returns a shard whose searcher answers within 10 ms.
func shard() admission.Shard {
	return admission.Shard{ServiceTime: 10 * time.Millisecond, LimitSpare: 1}
}

// limited returns a shard whose searcher has named a limit.
func limited(spare float64, wait time.Duration) admission.Shard {
	return admission.Shard{ServiceTime: 10 * time.Millisecond, Wait: wait, Queued: wait > 0, Limited: true, LimitSpare: spare}
}

// TestLeaveOut checks which shards a fan-out does without because of limits.
func TestLeaveOut(t *testing.T) {
	const late = time.Second
	for name, c := range map[string]struct {
		shards   []admission.Shard
		min      int
		admitted bool
		leaveOut []int
	}{
		"no limits":              {[]admission.Shard{shard(), shard(), shard()}, 2, true, nil},
		"plenty":                 {[]admission.Shard{shard(), limited(0.9, 0), shard()}, 2, true, nil},
		"scarce":                 {[]admission.Shard{shard(), limited(0.3, 0), shard()}, 2, true, []int{1}},
		"scarce, all needed":     {[]admission.Shard{shard(), limited(0.3, 0), shard()}, 3, true, nil},
		"scarcest first":         {[]admission.Shard{limited(0.4, 0), limited(0.1, 0), shard()}, 2, true, []int{1}},
		"too late":               {[]admission.Shard{limited(0, late), limited(0.1, 0), shard()}, 2, true, []int{0}},
		"too late, all needed":   {[]admission.Shard{shard(), limited(0, late), shard()}, 3, false, nil},
		"soon":                   {[]admission.Shard{shard(), limited(0, 20*time.Millisecond), shard()}, 3, true, nil},
		"too many are too late":  {[]admission.Shard{limited(0, late), limited(0, late), shard()}, 2, false, nil},
		"plain request, no room": {[]admission.Shard{limited(0, late)}, 1, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := admission.Decide(admission.Request{Shards: c.shards, MinShards: c.min, Objective: 80 * time.Millisecond, TimeLeft: 3 * time.Second})
			if d.Admit != c.admitted || !slices.Equal(d.LeaveOut, c.leaveOut) {
				t.Errorf("admitted %v without shards %v", d.Admit, d.LeaveOut)
			}
			if !d.Admit && (d.TooFewShards || d.RetryAfter <= 0) {
				t.Errorf("refused without a time to return: %+v", d)
			}
		})
	}
}

// TestLeaveOutLate guards against fan-outs that add to the load of shards that would answer
// too late, though they can do without them.
func TestLeaveOutLate(t *testing.T) {
	late := admission.Shard{ServiceTime: 60 * time.Millisecond, LimitSpare: 1}
	for name, c := range map[string]struct {
		shards   []admission.Shard
		min      int
		leaveOut int
	}{
		"none is late":           {[]admission.Shard{shard(), shard(), shard(), shard()}, 2, 0},
		"one is late":            {[]admission.Shard{shard(), late, shard()}, 2, 1},
		"all needed":             {[]admission.Shard{shard(), late, shard()}, 3, 0},
		"one of two":             {[]admission.Shard{late, late, shard()}, 2, 1},
		"half of what is spared": {[]admission.Shard{late, late, late, late, shard(), shard()}, 2, 2},
		"beside a limit":         {[]admission.Shard{limited(0, time.Second), late, shard(), shard()}, 2, 2},
	} {
		d := admission.Decide(admission.Request{Shards: c.shards, MinShards: c.min, Objective: 80 * time.Millisecond, TimeLeft: time.Second})
		if !d.Admit || len(d.LeaveOut) != c.leaveOut {
			t.Errorf("%s: admitted %v without shards %v, want %d without", name, d.Admit, d.LeaveOut, c.leaveOut)
		}
		for _, n := range d.LeaveOut {
			if s := c.shards[n]; s.Wait+s.ServiceTime <= 20*time.Millisecond {
				t.Errorf("%s: without shard %d, which is in time", name, n)
			}
		}
	}
}

// TestLateShardsShareLoad guards against fan-outs that all do without the same one of several
// late shards, and send to the other one.
func TestLateShardsShareLoad(t *testing.T) {
	const n = 1000
	late := admission.Shard{ServiceTime: 60 * time.Millisecond, LimitSpare: 1}
	without := [3]int{}
	for range n {
		d := admission.Decide(admission.Request{Shards: []admission.Shard{late, shard(), late}, MinShards: 2, Objective: 80 * time.Millisecond, TimeLeft: time.Second})
		for _, i := range d.LeaveOut {
			without[i]++
		}
	}
	if without[1] > 0 || without[0]+without[2] != n || without[0] < n/3 || without[2] < n/3 {
		t.Errorf("without each shard: %v of %d", without, n)
	}
}
