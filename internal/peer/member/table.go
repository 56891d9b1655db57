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
	// suspicionTimeout is the time a suspected member has to refute.
	suspicionTimeout = 4 * time.Second
	// deadRetention is how long a dead or left member is kept, so that the two
	// sides of a network partition find each other again without the platform.
	deadRetention = 3 * time.Hour
	// bucketCount is the number of buckets in which tables are compared.
	bucketCount = 64
)

// entry is the record of one other member.
type entry struct {
	Update
	since, lastHeard time.Time
	digest           Digest
}

// pendingEvent is an event to be emitted after the table is unlocked.
type pendingEvent struct {
	number event.Number
	id     string
	detail string
}

// table is the membership state of one node. It does no I/O.
type table struct {
	self    Update
	members map[string]*entry
	queue   queue
	events  []pendingEvent
	// liveCount is the number of live members and liveHash the XOR of their
	// hashes, this node included.
	liveCount int
	liveHash  uint64
	// version increases when the set of live members or the VM data of a
	// member changes.
	version uint64
	// refuted is set when this node refuted a claim about itself.
	refuted bool
}

func newTable(self vm.VM, incarnation uint64) *table {
	u := Update{VM: self, Incarnation: incarnation}
	t := &table{self: u, members: map[string]*entry{}, liveCount: 1, liveHash: memberHash(u)}
	t.queue.add(self.ID)
	return t
}

// memberHash returns the contribution of a live member to the table's liveHash.
func memberHash(u Update) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(u.VM.ID), u.Incarnation))
}

// merge applies an update and reports whether it changed the table. An invalid
// or outdated update is ignored.
func (t *table) merge(u Update, now time.Time) bool {
	if u.Validate() != nil {
		return false
	}
	if u.VM.ID == t.self.VM.ID {
		return t.mergeSelf(u)
	}
	e, ok := t.members[u.VM.ID]
	if ok && !u.overrides(e.Update) {
		return false
	}
	if !ok {
		e = &entry{}
		t.members[u.VM.ID] = e
	}
	t.report(e, ok, u)
	t.set(e, ok, u, now)
	t.queue.add(u.VM.ID)
	return true
}

// mergeSelf applies an update about this node. If the update claims that the
// node is not alive or has another address, the node refutes it with a higher
// incarnation.
func (t *table) mergeSelf(u Update) bool {
	if !u.overrides(t.self) || t.self.State == Left {
		return false
	}
	previous := t.self
	t.self.Incarnation = u.Incarnation
	if u.State != Alive || u.VM.Addr != t.self.VM.Addr {
		t.self.Incarnation++
		t.refuted = true
	}
	t.liveHash ^= memberHash(previous) ^ memberHash(t.self)
	t.queue.add(t.self.VM.ID)
	t.events = append(t.events, pendingEvent{event.PeerRefuted, t.self.VM.ID, "reported as " + u.State.String()})
	return true
}

// set stores u in e and updates liveCount, liveHash and version. known is false
// if e is new.
func (t *table) set(e *entry, known bool, u Update, now time.Time) {
	if known && e.State.live() {
		t.liveHash ^= memberHash(e.Update)
		t.liveCount--
	}
	if u.State.live() {
		t.liveHash ^= memberHash(u)
		t.liveCount++
	}
	if !known || e.State.live() != u.State.live() || e.VM != u.VM {
		t.version++
	}
	e.Update = u
	e.since = now
}

// report records the event for the transition of e to u, if there is one.
func (t *table) report(e *entry, known bool, u Update) {
	number := event.PeerJoined
	switch {
	case u.State == Suspect:
		number = event.PeerSuspected
	case u.State == Dead:
		number = event.PeerDead
	case u.State == Left:
		number = event.PeerLeft
	case known && e.State == Suspect:
		number = event.PeerRefuted
	case known && e.State == Alive:
		return
	}
	t.events = append(t.events, pendingEvent{number, u.VM.ID, string(u.VM.Domain)})
}

// mergePage merges a page of a peer's table. The updates are not queued, since
// the peer has already gossiped them, and are reported as a single event.
func (t *table) mergePage(us []Update, now time.Time) {
	queue, events := t.queue.clone(), t.events
	changed := 0
	for _, u := range us {
		if u.VM.ID == t.self.VM.ID {
			continue
		}
		if t.merge(u, now) {
			changed++
		}
	}
	t.queue, t.events = queue, events
	for _, u := range us {
		if u.VM.ID == t.self.VM.ID {
			t.merge(u, now)
		}
	}
	if changed > 0 {
		t.events = append(t.events, pendingEvent{event.PeerJoined, t.self.VM.ID, fmt.Sprintf("%d members read from a peer", changed)})
	}
}

// recordContact records a heartbeat received from a member.
func (t *table) recordContact(u Update, d Digest, now time.Time) {
	t.merge(u, now)
	if e, ok := t.members[u.VM.ID]; ok {
		e.lastHeard = now
		e.digest = d
	}
}

// suspect marks a member as suspected, unless its state or incarnation has
// changed since it was probed.
func (t *table) suspect(id string, incarnation uint64, now time.Time) {
	e, ok := t.members[id]
	if !ok || e.State != Alive || e.Incarnation != incarnation {
		return
	}
	u := e.Update
	u.State = Suspect
	t.merge(u, now)
}

// expire declares suspected members dead after suspicionTimeout and removes
// dead and left ones after deadRetention. Every node does so by its own clock,
// so nothing is sent.
func (t *table) expire(now time.Time) {
	for id, e := range t.members {
		age := now.Sub(e.since)
		if e.State == Suspect && age >= suspicionTimeout {
			u := e.Update
			u.State = Dead
			t.report(e, true, u)
			t.set(e, true, u, now)
		}
		if !e.State.live() && age >= deadRetention {
			delete(t.members, id)
		}
	}
}

// stateToRefute returns the member's state if it is known and not Alive, for
// the member to refute.
func (t *table) stateToRefute(id string) (Update, bool) {
	e, ok := t.members[id]
	if !ok || e.State == Alive {
		return Update{}, false
	}
	return e.Update, true
}

// updatesFor returns updates of at most maxBytes for one message to a member.
// Each is sent half as many times as a rumor, since the comparison of tables
// repairs what they miss.
func (t *table) updatesFor(to string, maxBytes int) []Update {
	var out []Update
	if u, ok := t.stateToRefute(to); ok {
		out = append(out, u)
		maxBytes -= u.size()
	}
	return append(out, t.queue.take(maxBytes, rumor.Transmissions(t.liveCount)/2, t.find)...)
}

// find returns the current state of a member, this node included.
func (t *table) find(id string) (Update, bool) {
	if id == t.self.VM.ID {
		return t.self, true
	}
	e, ok := t.members[id]
	if !ok {
		return Update{}, false
	}
	return e.Update, true
}

// leave sets this node's state to Left and queues it.
func (t *table) leave() {
	t.self.State = Left
	t.queue.add(t.self.VM.ID)
}

// bucketOf returns the bucket number of a member.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// bucketHashes returns the hash over the live members of each bucket.
func (t *table) bucketHashes() []uint64 {
	hs := make([]uint64, bucketCount)
	if t.self.State.live() {
		hs[bucketOf(t.self.VM.ID)] ^= memberHash(t.self)
	}
	for id, e := range t.members {
		if e.State.live() {
			hs[bucketOf(id)] ^= memberHash(e.Update)
		}
	}
	return hs
}

// differingBuckets returns the numbers of the buckets whose hash differs from
// hs, and up to limit of their members.
func (t *table) differingBuckets(hs []uint64, limit int) ([]uint32, []Update) {
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

// requeueDiffering queues the members of the buckets bs that a peer's reply had
// in an older state, and the live ones that it lacked.
func (t *table) requeueDiffering(bs []uint32, reply []Update) {
	theirs := make(map[string]Update, len(reply))
	for _, u := range reply {
		theirs[u.VM.ID] = u
	}
	for _, u := range t.updates() {
		o, ok := theirs[u.VM.ID]
		newer := !ok && u.State.live() || ok && u.overrides(o)
		if newer && slices.Contains(bs, uint32(bucketOf(u.VM.ID))) {
			t.queue.add(u.VM.ID)
		}
	}
}

// page returns up to limit members after an ID, sorted by ID, and the ID to
// continue after, or "" if there are no more.
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

// updates returns all members, this node included, sorted by ID.
func (t *table) updates() []Update {
	out := make([]Update, 0, len(t.members)+1)
	out = append(out, t.self)
	for _, e := range t.members {
		out = append(out, e.Update)
	}
	slices.SortFunc(out, func(a, b Update) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return out
}

// liveIn returns the other live members in the domains that match accepts.
func (t *table) liveIn(match func(failuredomain.Domain) bool) []Update {
	var out []Update
	for _, e := range t.members {
		if e.State.live() && match(e.VM.Domain) {
			out = append(out, e.Update)
		}
	}
	// Sort, as map order would make seeded runs differ.
	slices.SortFunc(out, func(a, b Update) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return out
}
