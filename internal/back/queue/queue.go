// Package queue holds what waits for a slot, the nearest deadline first, and
// sheds early what cannot be served in time.
//
// The queue is bounded. An item whose deadline is nearer than the time that
// the items before it are likely to take is turned away at once instead of
// being dropped later: while it waited it would only have kept others from
// being served.
//
// # Usage
//
//	q := queue.New[*call](queue.Config{Max: 32})
//	_, ok := q.Push(now, c, deadline, service/slots, service)
//	c, late, ok := q.Pop(now, service)
package queue

import (
	"slices"
	"sort"
	"time"
)

// DefaultMax is the length of a queue when none is set.
const DefaultMax = 64

// Config describes a Queue.
type Config struct {
	// Max is how many items may wait.
	Max int
}

// entry is one item that waits.
type entry[T any] struct {
	item     T
	deadline time.Time
}

// Queue is a bounded queue ordered by deadline. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	max int
	es  []entry[T]
}

// New returns an empty queue.
func New[T comparable](c Config) *Queue[T] {
	if c.Max <= 0 {
		c.Max = DefaultMax
	}
	return &Queue[T]{max: c.Max}
}

// Len is how many items wait.
func (q *Queue[T]) Len() int { return len(q.es) }

// Push adds an item. It refuses one that could not begin and end before its
// deadline when each item before it takes turn and it takes service itself;
// and, in a full queue, one whose deadline is the farthest.
func (q *Queue[T]) Push(now time.Time, item T, deadline time.Time, turn, service time.Duration) (evicted T, ok bool) {
	i := sort.Search(len(q.es), func(k int) bool { return q.es[k].deadline.After(deadline) })
	if now.Add(time.Duration(i+1)*turn + service).After(deadline) {
		return evicted, false
	}
	if len(q.es) >= q.max && i == len(q.es) {
		return evicted, false
	}
	q.es = slices.Insert(q.es, i, entry[T]{item: item, deadline: deadline})
	if len(q.es) > q.max {
		last := len(q.es) - 1
		evicted = q.es[last].item
		q.es = slices.Delete(q.es, last, last+1)
	}
	return evicted, true
}

// Pop takes the item with the nearest deadline that can still be met when it
// takes service. Items that cannot are returned in late.
func (q *Queue[T]) Pop(now time.Time, service time.Duration) (item T, late []T, ok bool) {
	for len(q.es) > 0 {
		e := q.es[0]
		q.es = slices.Delete(q.es, 0, 1)
		if !now.Add(service).After(e.deadline) {
			return e.item, late, true
		}
		late = append(late, e.item)
	}
	return item, late, false
}

// Remove takes an item out; it reports whether it was there.
func (q *Queue[T]) Remove(item T) bool {
	i := slices.IndexFunc(q.es, func(e entry[T]) bool { return e.item == item })
	if i < 0 {
		return false
	}
	q.es = slices.Delete(q.es, i, i+1)
	return true
}
