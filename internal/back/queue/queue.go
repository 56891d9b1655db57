// Package queue is a bounded earliest-deadline-first queue that sheds early the
// items that cannot be served in time.
//
// An item whose deadline would expire before the items ahead of it are served
// is refused at once instead of being dropped later: while it waited, it would
// take up room that other items need.
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

// DefaultMax is the capacity of a queue if Config.Max is not positive.
const DefaultMax = 64

// Config describes a Queue.
type Config struct {
	// Max is the capacity of the queue.
	Max int
}

// entry is a queued item with its deadline.
type entry[T any] struct {
	item     T
	deadline time.Time
}

// Queue is a bounded queue ordered by deadline. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	max int
	// entries is sorted by deadline, earliest first.
	entries []entry[T]
}

// New returns an empty queue.
func New[T comparable](c Config) *Queue[T] {
	if c.Max <= 0 {
		c.Max = DefaultMax
	}
	return &Queue[T]{max: c.Max}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds an item. ok is false if it cannot end before its deadline, given
// perItem for each item ahead and service for itself, or if the queue is full
// and no queued item has a later deadline. A full queue evicts the item with the
// latest deadline.
func (q *Queue[T]) Push(now time.Time, item T, deadline time.Time, perItem, service time.Duration) (evicted T, ok bool) {
	i := sort.Search(len(q.entries), func(k int) bool { return q.entries[k].deadline.After(deadline) })
	if now.Add(time.Duration(i+1)*perItem + service).After(deadline) {
		return evicted, false
	}
	if len(q.entries) >= q.max && i == len(q.entries) {
		return evicted, false
	}
	q.entries = slices.Insert(q.entries, i, entry[T]{item: item, deadline: deadline})
	if len(q.entries) > q.max {
		last := len(q.entries) - 1
		evicted = q.entries[last].item
		q.entries = slices.Delete(q.entries, last, last+1)
	}
	return evicted, true
}

// Pop removes and returns the item with the earliest deadline that is at least
// service away. Items with earlier deadlines are removed and returned in late.
// ok is false if no item is left that can meet its deadline.
func (q *Queue[T]) Pop(now time.Time, service time.Duration) (item T, late []T, ok bool) {
	for len(q.entries) > 0 {
		e := q.entries[0]
		q.entries = slices.Delete(q.entries, 0, 1)
		if !now.Add(service).After(e.deadline) {
			return e.item, late, true
		}
		late = append(late, e.item)
	}
	return item, late, false
}

// Remove removes an item. It returns false if the item is not queued.
func (q *Queue[T]) Remove(item T) bool {
	i := slices.IndexFunc(q.entries, func(e entry[T]) bool { return e.item == item })
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}
