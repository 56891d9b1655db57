package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestPopsEarliestFeasibleDeadline pushes and pops at random: each popped item
// can meet its deadline and has the earliest one, and no item is lost or
// returned twice.
func TestPopsEarliestFeasibleDeadline(t *testing.T) {
	const service = 5 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "max")
		q, now, waiting := New[int](Config{Max: capacity}), time.Unix(1_000_000, 0), map[int]time.Time{}
		steps := rapid.IntRange(0, 60).Draw(t, "steps")
		for i := 1; i <= steps; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "push") {
				d := now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Millisecond)
				evicted, ok := q.Push(now, i, d, service/2, service)
				if ok && d.Before(now.Add(service)) {
					t.Fatal("accepted an item that cannot meet its deadline")
				}
				if ok {
					waiting[i] = d
				}
				if evicted != 0 && waiting[evicted].Before(d) {
					t.Fatal("evicted an item with an earlier deadline than the new one")
				}
				delete(waiting, evicted)
			} else {
				item, late, ok := q.Pop(now, service)
				for _, l := range late {
					if !waiting[l].Before(now.Add(service)) {
						t.Fatal("dropped an item that can meet its deadline")
					}
					delete(waiting, l)
				}
				for _, d := range waiting {
					if ok && d.Before(waiting[item]) {
						t.Fatal("popped item does not have the earliest deadline")
					}
				}
				if ok && waiting[item].Before(now.Add(service)) {
					t.Fatal("popped an item that cannot meet its deadline")
				}
				delete(waiting, item)
			}
			if q.Len() != len(waiting) || q.Len() > capacity {
				t.Fatalf("%d items queued, want %d, capacity %d", q.Len(), len(waiting), capacity)
			}
		}
	})
}

func TestRemove(t *testing.T) {
	q, now := New[string](Config{}), time.Unix(1_000_000, 0)
	q.Push(now, "a", now.Add(time.Second), 0, 0)
	if !q.Remove("a") || q.Remove("a") || q.Len() != 0 {
		t.Fatal("Remove did not remove the item exactly once")
	}
}
