package member

import (
	"cmp"
	"slices"
)

// queuedUpdate is a member whose state is being gossiped.
type queuedUpdate struct {
	id   string
	sent int
}

// queue holds the members whose state is sent with heartbeats.
type queue struct {
	items []queuedUpdate
}

// add queues a member, or resets its send count if it is queued already.
func (q *queue) add(id string) {
	for i := range q.items {
		if q.items[i].id == id {
			q.items[i].sent = 0
			return
		}
	}
	q.items = append(q.items, queuedUpdate{id: id})
}

// take returns updates of at most maxBytes, the least often sent first. A
// member leaves the queue after maxSends sends.
func (q *queue) take(maxBytes, maxSends int, find func(string) (Update, bool)) []Update {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b queuedUpdate) int { return cmp.Compare(a.sent, b.sent) })
	var out []Update
	for i := range q.items {
		u, ok := find(q.items[i].id)
		if !ok {
			q.items[i].sent = maxSends
			continue
		}
		if u.size() > maxBytes {
			continue
		}
		maxBytes -= u.size()
		q.items[i].sent++
		out = append(out, u)
	}
	q.items = slices.DeleteFunc(q.items, func(x queuedUpdate) bool { return x.sent >= maxSends })
	return out
}

// clone returns a deep copy of q.
func (q queue) clone() queue { return queue{items: slices.Clone(q.items)} }
