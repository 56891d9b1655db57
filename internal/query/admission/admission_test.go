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
