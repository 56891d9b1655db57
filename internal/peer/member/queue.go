package member

import (
	"cmp"
	"slices"
)

// queued is a member whose latest state is on its way.
type queued struct {
	id   string
	sent int
}

// queue holds the members whose state is handed out with heartbeats.
type queue struct {
	items []queued
}

// add lets the state of a member spread from the start.
func (q *queue) add(id string) {
	for i := range q.items {
		if q.items[i].id == id {
			q.items[i].sent = 0
			return
		}
	}
	q.items = append(q.items, queued{id: id})
}

// take hands out states, those sent least often first, up to a number of
// bytes; each is handed out most times.
func (q *queue) take(budget, most int, find func(string) (Update, bool)) []Update {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b queued) int { return cmp.Compare(a.sent, b.sent) })
	var out []Update
	for i := range q.items {
		u, ok := find(q.items[i].id)
		if !ok {
			q.items[i].sent = most
			continue
		}
		if u.size() > budget {
			continue
		}
		budget -= u.size()
		q.items[i].sent++
		out = append(out, u)
	}
	q.items = slices.DeleteFunc(q.items, func(x queued) bool { return x.sent >= most })
	return out
}

// clone returns a copy.
func (q queue) clone() queue { return queue{items: slices.Clone(q.items)} }
