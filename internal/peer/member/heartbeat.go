package member

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/memberrpc"
	"egrethaven/internal/peer/rumor"
)

const (
	// syncEvery is the least time between two comparisons of tables.
	syncEvery = 15 * time.Second
	// syncYoung is that of a node that has just begun, for youth.
	syncYoung = 3 * time.Second
	youth     = time.Minute
	// differAfter is how many hashes in a row have to differ before tables
	// are compared.
	differAfter = 3
	// pageSize is how many members a page has.
	pageSize = 250
	// maxPages bounds the pages that a node reads.
	maxPages = 200
	// helpers is how many members are asked to try one that did not answer.
	helpers = 3
)

// client returns a client for an address.
func (m *Membership) client(ctx context.Context, addr string) (memberrpc.DRPCMemberClient, error) {
	c, err := m.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return memberrpc.NewDRPCMemberClient(c), nil
}

// beat sends a heartbeat. id is the member's, where known.
func (m *Membership) beat(ctx context.Context, addr, id string) error {
	rs := m.rumors(0)
	err := m.beatWith(ctx, addr, id, rs)
	if err != nil {
		m.c.Rumors.Requeue(rs)
	}
	return err
}

// rumors takes the rumors for one message. peers is how many others get such
// a message at the same moment.
func (m *Membership) rumors(peers int) []rumor.Rumor {
	m.mu.Lock()
	live := m.t.live
	m.mu.Unlock()
	return m.c.Rumors.Take(rumorBytes, rumor.Transmissions(live)+peers)
}

// beatWith sends a heartbeat with the given rumors.
func (m *Membership) beatWith(ctx context.Context, addr, id string, rs []rumor.Rumor) error {
	in, err := m.exchange(ctx, addr, m.heartbeat(id, rs))
	if err != nil {
		return err
	}
	if id != "" && in.GetFrom().GetId() != id {
		return errors.NotFoundf("member %s at %s", id, addr)
	}
	m.heardAny.Store(time.Now().UnixNano())
	m.take(in)
	m.compare(in.GetLiveHash(), addr)
	return nil
}

// exchange sends a heartbeat and returns the one that answers it.
func (m *Membership) exchange(ctx context.Context, addr string, h *memberrpc.Heartbeat) (*memberrpc.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	c, err := m.client(ctx, addr)
	if err != nil {
		return nil, err
	}
	in, err := c.Beat(ctx, h)
	return in, errors.Trace(err)
}

// heartbeat makes a message to a member. Rumors come first, up to their part
// of the bytes, as a mass of joins or failures must not hold them up.
func (m *Membership) heartbeat(to string, rs []rumor.Rumor) *memberrpc.Heartbeat {
	h := &memberrpc.Heartbeat{Digest: toDigest(m.c.Digest())}
	left := newsBytes
	for _, r := range rs {
		left -= r.Size()
	}
	h.Rumors = toRumors(rs)
	m.mu.Lock()
	defer m.mu.Unlock()
	h.From = toUpdate(m.t.self)
	h.Updates = toUpdates(m.t.news(to, left))
	h.LiveHash = m.t.hash
	return h
}

// take deals with a message of a member.
func (m *Membership) take(h *memberrpc.Heartbeat) {
	from := fromUpdate(h.GetFrom())
	if from.Valid() != nil || from.VM.ID == m.c.Self.ID {
		return
	}
	d := fromDigest(h.GetDigest())
	m.locked(func(t *table, now time.Time) {
		t.heard(from, d, now)
		for _, u := range fromUpdates(h.GetUpdates()) {
			t.merge(u, now)
		}
	})
	m.c.Rumors.Merge(fromRumors(h.GetRumors()))
	m.c.OnDigest(from.VM, d)
}

// compare starts a comparison of tables when they have differed for a while.
func (m *Membership) compare(hash uint64, addr string) {
	now := time.Now()
	m.mu.Lock()
	if m.t.hash == hash {
		m.differed = 0
	} else {
		m.differed++
	}
	every := syncEvery
	if now.Sub(m.begun) < youth {
		every = syncYoung
	}
	due := m.differed >= differAfter && now.Sub(m.synced) >= every
	var hs []uint64
	if due {
		m.synced, m.differed = now, 0
		hs = m.t.bucketHashes()
	}
	m.mu.Unlock()
	if due {
		_ = m.syncBuckets(m.ctx, addr, hs)
	}
}

// syncBuckets compares tables with a member.
func (m *Membership) syncBuckets(ctx context.Context, addr string, hs []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := m.client(ctx, addr)
	if err != nil {
		return err
	}
	in, err := c.Sync(ctx, &memberrpc.SyncRequest{Buckets: hs})
	if err != nil {
		return errors.Trace(err)
	}
	us := fromUpdates(in.GetUpdates())
	m.locked(func(t *table, now time.Time) {
		t.requeue(in.GetDiffering(), us)
		for _, u := range us {
			t.merge(u, now)
		}
	})
	return nil
}

// syncAll reads the whole table of a member, in pages.
func (m *Membership) syncAll(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	c, err := m.client(ctx, addr)
	if err != nil {
		return err
	}
	after := ""
	for range maxPages {
		in, err := c.Sync(ctx, &memberrpc.SyncRequest{After: after})
		if err != nil {
			return errors.Trace(err)
		}
		m.locked(func(t *table, now time.Time) { t.load(fromUpdates(in.GetUpdates()), now) })
		m.c.Rumors.Merge(fromRumors(in.GetRumors()))
		if after = in.GetNext(); after == "" {
			return nil
		}
	}
	return errors.Errorf("more than %d pages", maxPages)
}

// probeThrough asks a few members to send a heartbeat to one that did not
// answer. It is true when one of them got an answer.
func (m *Membership) probeThrough(u Update) bool {
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	hs := m.chooseHelpers(u)
	answers := make(chan bool, len(hs))
	for _, h := range hs {
		m.wg.Go(func() { answers <- m.probe(ctx, h, u) })
	}
	for range hs {
		if <-answers {
			return true
		}
	}
	return false
}

func (m *Membership) probe(ctx context.Context, helper, target Update) bool {
	c, err := m.client(ctx, helper.VM.Addr)
	if err != nil {
		return false
	}
	in, err := c.Probe(ctx, &memberrpc.ProbeRequest{Target: toUpdate(target)})
	return err == nil && in.GetAnswered()
}

// chooseHelpers returns a few live members, one of them of the target's own
// domain where there is one.
func (m *Membership) chooseHelpers(target Update) []Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Update
	add := func(us []Update) {
		u, ok := m.pick(us)
		if ok && u.VM.ID != target.VM.ID {
			out = append(out, u)
		}
	}
	all := m.t.liveIn(m.anywhere)
	for _, u := range all {
		if u.VM.Domain == target.VM.Domain && u.VM.ID != target.VM.ID {
			out = append(out, u)
		}
	}
	m.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(1, len(out))]
	for range helpers - len(out) {
		add(all)
	}
	return out
}
