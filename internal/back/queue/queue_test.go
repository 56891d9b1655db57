package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestServesInTimeInOrder pushes and pops at random: what comes out can be
// met, is the nearest that waits, and nothing is lost or doubled.
func TestServesInTimeInOrder(t *testing.T) {
	const service = 5 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 8).Draw(t, "max")
		q, now, waiting := New[int](Config{Max: most}), time.Unix(1_000_000, 0), map[int]time.Time{}
		steps := rapid.IntRange(0, 60).Draw(t, "steps")
		for i := 1; i <= steps; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "push") {
				d := now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Millisecond)
				evicted, ok := q.Push(now, i, d, service/2, service)
				if ok && d.Before(now.Add(service)) {
					t.Fatal("took what cannot be met")
				}
				if ok {
					waiting[i] = d
				}
				if evicted != 0 && waiting[evicted].Before(d) {
					t.Fatal("evicted the nearer")
				}
				delete(waiting, evicted)
			} else {
				item, late, ok := q.Pop(now, service)
				for _, l := range late {
					if !waiting[l].Before(now.Add(service)) {
						t.Fatal("dropped what can be met")
					}
					delete(waiting, l)
				}
				for _, d := range waiting {
					if ok && d.Before(waiting[item]) {
						t.Fatal("not the nearest")
					}
				}
				if ok && waiting[item].Before(now.Add(service)) {
					t.Fatal("served what cannot be met")
				}
				delete(waiting, item)
			}
			if q.Len() != len(waiting) || q.Len() > most {
				t.Fatalf("%d wait, want %d of %d", q.Len(), len(waiting), most)
			}
		}
	})
}

func TestRemove(t *testing.T) {
	q, now := New[string](Config{}), time.Unix(1_000_000, 0)
	q.Push(now, "a", now.Add(time.Second), 0, 0)
	if !q.Remove("a") || q.Remove("a") || q.Len() != 0 {
		t.Fatal("an item is removed once")
	}
}
