package member

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/rumor"
)

const (
	// suspicion is how long a suspected member has to refute.
	suspicion = 4 * time.Second
	// forgetAfter is how long a dead member is remembered, so that two parts
	// of a network that was cut find each other again without the platform.
	forgetAfter = 3 * time.Hour
	// buckets is how many parts a table is compared in.
	buckets = 64
)

// entry is one member.
type entry struct {
	Update
	since, heard time.Time
	digest       Digest
}

// change is an event that a table wants reported.
type change struct {
	number event.Number
	id     string
	detail string
}

// table is the state of the membership on one node, without I/O.
type table struct {
	self    Update
	all     map[string]*entry
	queue   queue
	changes []change
	// live and hash are the number of live members and the combination of
	// their hashes, this node included.
	live int
	hash uint64
	// version grows when the set of live members changes.
	version uint64
	// refuted is set when this node had to refute.
	refuted bool
}

func newTable(self vm.VM, incarnation uint64) *table {
	u := Update{VM: self, Incarnation: incarnation}
	t := &table{self: u, all: map[string]*entry{}, live: 1, hash: liveHash(u)}
	t.queue.add(self.ID)
	return t
}

// liveHash is the part of a live member in the hash of a table.
func liveHash(u Update) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(u.VM.ID), u.Incarnation))
}

// merge takes in an update. It is true when it was news.
func (t *table) merge(u Update, now time.Time) bool {
	if u.Valid() != nil {
		return false
	}
	if u.VM.ID == t.self.VM.ID {
		return t.mergeSelf(u)
	}
	e, ok := t.all[u.VM.ID]
	if ok && !u.overrides(e.Update) {
		return false
	}
	if !ok {
		e = &entry{}
		t.all[u.VM.ID] = e
	}
	t.report(e, ok, u)
	t.set(e, ok, u, now)
	t.queue.add(u.VM.ID)
	return true
}

// mergeSelf refutes what others say of this node, unless it is so.
func (t *table) mergeSelf(u Update) bool {
	if !u.overrides(t.self) || t.self.State == Left {
		return false
	}
	was := t.self
	t.self.Incarnation = u.Incarnation
	if u.State != Alive || u.VM.Addr != t.self.VM.Addr {
		t.self.Incarnation++
		t.refuted = true
	}
	t.hash ^= liveHash(was) ^ liveHash(t.self)
	t.queue.add(t.self.VM.ID)
	t.changes = append(t.changes, change{event.PeerRefuted, t.self.VM.ID, "was called " + u.State.String()})
	return true
}

// set gives e a new state.
func (t *table) set(e *entry, known bool, u Update, now time.Time) {
	if known && e.State.live() {
		t.hash ^= liveHash(e.Update)
		t.live--
	}
	if u.State.live() {
		t.hash ^= liveHash(u)
		t.live++
	}
	if !known || e.State.live() != u.State.live() || e.VM != u.VM {
		t.version++
	}
	e.Update = u
	e.since = now
}

// report notes the event that u means for e.
func (t *table) report(e *entry, known bool, u Update) {
	n := event.PeerJoined
	switch {
	case u.State == Suspect:
		n = event.PeerSuspected
	case u.State == Dead:
		n = event.PeerDead
	case u.State == Left:
		n = event.PeerLeft
	case known && e.State == Suspect:
		n = event.PeerRefuted
	case known && e.State == Alive:
		return
	}
	t.changes = append(t.changes, change{n, u.VM.ID, string(u.VM.Domain)})
}

// load takes in a page of a peer's table. The peer has spread it already, so
// none of it is queued, and it makes one event.
func (t *table) load(us []Update, now time.Time) {
	q, cs := t.queue.clone(), t.changes
	n := 0
	for _, u := range us {
		if u.VM.ID == t.self.VM.ID {
			continue
		}
		if t.merge(u, now) {
			n++
		}
	}
	t.queue, t.changes = q, cs
	for _, u := range us {
		if u.VM.ID == t.self.VM.ID {
			t.merge(u, now)
		}
	}
	if n > 0 {
		t.changes = append(t.changes, change{event.PeerJoined, t.self.VM.ID, fmt.Sprintf("%d members from a peer", n)})
	}
}

// heard takes in a direct message of a member.
func (t *table) heard(u Update, d Digest, now time.Time) {
	t.merge(u, now)
	if e, ok := t.all[u.VM.ID]; ok {
		e.heard = now
		e.digest = d
	}
}

// suspect notes that a member did not answer.
func (t *table) suspect(id string, incarnation uint64, now time.Time) {
	e, ok := t.all[id]
	if !ok || e.State != Alive || e.Incarnation != incarnation {
		return
	}
	u := e.Update
	u.State = Suspect
	t.merge(u, now)
}

// expire declares dead who did not refute, and forgets the long dead. Each
// node does so by its own clock, so nothing is sent.
func (t *table) expire(now time.Time) {
	for id, e := range t.all {
		age := now.Sub(e.since)
		if e.State == Suspect && age >= suspicion {
			u := e.Update
			u.State = Dead
			t.report(e, true, u)
			t.set(e, true, u, now)
		}
		if !e.State.live() && age >= forgetAfter {
			delete(t.all, id)
		}
	}
}

// notice returns what a member has to refute, if anything.
func (t *table) notice(id string) (Update, bool) {
	e, ok := t.all[id]
	if !ok || e.State == Alive {
		return Update{}, false
	}
	return e.Update, true
}

// news returns updates for one message to a member, up to a number of bytes.
// They are handed out half as often as rumors: what they miss, the comparison
// of tables finds.
func (t *table) news(to string, budget int) []Update {
	var out []Update
	if u, ok := t.notice(to); ok {
		out = append(out, u)
		budget -= u.size()
	}
	return append(out, t.queue.take(budget, rumor.Transmissions(t.live)/2, t.find)...)
}

// find returns the update of a member, this node included.
func (t *table) find(id string) (Update, bool) {
	if id == t.self.VM.ID {
		return t.self, true
	}
	e, ok := t.all[id]
	if !ok {
		return Update{}, false
	}
	return e.Update, true
}

// leave marks this node as left.
func (t *table) leave() {
	t.self.State = Left
	t.queue.add(t.self.VM.ID)
}

// bucketOf returns the bucket of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % buckets) }

// bucketHashes returns the hash over the live members of each bucket.
func (t *table) bucketHashes() []uint64 {
	hs := make([]uint64, buckets)
	if t.self.State.live() {
		hs[bucketOf(t.self.VM.ID)] ^= liveHash(t.self)
	}
	for id, e := range t.all {
		if e.State.live() {
			hs[bucketOf(id)] ^= liveHash(e.Update)
		}
	}
	return hs
}

// inBuckets returns the numbers of the buckets whose hash differs from the
// given ones, and their members, at most limit.
func (t *table) inBuckets(hs []uint64, limit int) ([]uint32, []Update) {
	var bs []uint32
	for i, h := range t.bucketHashes() {
		if h != hs[i] {
			bs = append(bs, uint32(i))
		}
	}
	var us []Update
	for _, u := range t.updates() {
		if len(us) < limit && slices.Contains(bs, uint32(bucketOf(u.VM.ID))) {
			us = append(us, u)
		}
	}
	return bs, us
}

// requeue lets members of the buckets that differ spread again that a peer's
// answer did not have, or had in an older state.
func (t *table) requeue(bs []uint32, answer []Update) {
	theirs := make(map[string]Update, len(answer))
	for _, u := range answer {
		theirs[u.VM.ID] = u
	}
	for _, u := range t.updates() {
		o, ok := theirs[u.VM.ID]
		news := !ok && u.State.live() || ok && u.overrides(o)
		if news && slices.Contains(bs, uint32(bucketOf(u.VM.ID))) {
			t.queue.add(u.VM.ID)
		}
	}
}

// page returns the members after an id, in order of their ids, and whether
// there are more.
func (t *table) page(after string, limit int) ([]Update, string) {
	all := t.updates()
	i, _ := slices.BinarySearchFunc(all, after, func(u Update, id string) int { return cmp.Compare(u.VM.ID, id) })
	if i < len(all) && all[i].VM.ID == after {
		i++
	}
	all = all[i:]
	if len(all) <= limit {
		return all, ""
	}
	return all[:limit], all[limit-1].VM.ID
}

// updates returns all members, this node included, in order of their ids.
func (t *table) updates() []Update {
	out := make([]Update, 0, len(t.all)+1)
	out = append(out, t.self)
	for _, e := range t.all {
		out = append(out, e.Update)
	}
	slices.SortFunc(out, func(a, b Update) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return out
}

// liveIn returns the other live members for which f is true.
func (t *table) liveIn(f func(failuredomain.Domain) bool) []Update {
	var out []Update
	for _, e := range t.all {
		if e.State.live() && f(e.VM.Domain) {
			out = append(out, e.Update)
		}
	}
	// The order of a map is not that of the random source.
	slices.SortFunc(out, func(a, b Update) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return out
}
