package member

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/memberrpc"
	"egrethaven/internal/peer/rumor"
)

const (
	// syncInterval is the minimum time between two comparisons of tables.
	syncInterval = 15 * time.Second
	// startupSyncInterval replaces syncInterval for the startupPeriod after
	// the start.
	startupSyncInterval = 3 * time.Second
	startupPeriod       = time.Minute
	// minHashMismatches is the number of consecutive differing hashes after
	// which tables are compared.
	minHashMismatches = 3
	// pageSize is the maximum number of members in a page.
	pageSize = 250
	// maxPages is the maximum number of pages read of one table.
	maxPages = 200
	// indirectProbes is the number of members asked to probe one that did not
	// answer.
	indirectProbes = 3
)

// client returns a membership client connected to addr.
func (m *Membership) client(ctx context.Context, addr string) (memberrpc.DRPCMemberClient, error) {
	c, err := m.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return memberrpc.NewDRPCMemberClient(c), nil
}

// sendHeartbeat sends a heartbeat to addr. The answer must come from the member
// id, or from any member if id is empty.
func (m *Membership) sendHeartbeat(ctx context.Context, addr, id string) error {
	rs := m.takeRumors(0)
	err := m.sendHeartbeatWith(ctx, addr, id, rs)
	if err != nil {
		m.c.Rumors.Requeue(rs)
	}
	return err
}

// takeRumors returns the rumors for one message. peers is the number of other
// members that get a message at the same time; it raises the send limit.
func (m *Membership) takeRumors(peers int) []rumor.Rumor {
	m.mu.Lock()
	live := m.t.liveCount
	m.mu.Unlock()
	return m.c.Rumors.Take(maxRumorBytes, rumor.Transmissions(live)+peers)
}

// sendHeartbeatWith is sendHeartbeat with the given rumors.
func (m *Membership) sendHeartbeatWith(ctx context.Context, addr, id string, rs []rumor.Rumor) error {
	in, err := m.exchange(ctx, addr, m.heartbeat(id, rs))
	if err != nil {
		return err
	}
	if id != "" && in.GetFrom().GetId() != id {
		return errors.NotFoundf("member %s at %s", id, addr)
	}
	m.lastContact.Store(time.Now().UnixNano())
	m.receive(in)
	m.compareHash(in.GetLiveHash(), addr)
	return nil
}

// exchange sends a heartbeat and returns the peer's heartbeat.
func (m *Membership) exchange(ctx context.Context, addr string, h *memberrpc.Heartbeat) (*memberrpc.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	c, err := m.client(ctx, addr)
	if err != nil {
		return nil, err
	}
	in, err := c.Beat(ctx, h)
	return in, errors.Trace(err)
}

// heartbeat builds a heartbeat to a member. Rumors are added before updates, so
// that many joins or failures at once don't delay them.
func (m *Membership) heartbeat(to string, rs []rumor.Rumor) *memberrpc.Heartbeat {
	h := &memberrpc.Heartbeat{Digest: toDigest(m.c.Digest())}
	maxBytes := maxGossipBytes
	for _, r := range rs {
		maxBytes -= r.Size()
	}
	h.Rumors = toRumors(rs)
	m.mu.Lock()
	defer m.mu.Unlock()
	h.From = toUpdate(m.t.self)
	h.Updates = toUpdates(m.t.updatesFor(to, maxBytes))
	h.LiveHash = m.t.liveHash
	return h
}

// receive merges a heartbeat from a member.
func (m *Membership) receive(h *memberrpc.Heartbeat) {
	from := fromUpdate(h.GetFrom())
	if from.Validate() != nil || from.VM.ID == m.c.Self.ID {
		return
	}
	d := fromDigest(h.GetDigest())
	m.withTable(func(t *table, now time.Time) {
		t.recordContact(from, d, now)
		for _, u := range fromUpdates(h.GetUpdates()) {
			t.merge(u, now)
		}
	})
	m.c.Rumors.Merge(fromRumors(h.GetRumors()))
	m.c.OnDigest(from.VM, d)
}

// compareHash compares the live hash with that of the peer at addr. After
// minHashMismatches differing hashes it compares the tables, at most once per
// syncInterval or startupSyncInterval.
func (m *Membership) compareHash(hash uint64, addr string) {
	now := time.Now()
	m.mu.Lock()
	if m.t.liveHash == hash {
		m.hashMismatches = 0
	} else {
		m.hashMismatches++
	}
	interval := syncInterval
	if now.Sub(m.startedAt) < startupPeriod {
		interval = startupSyncInterval
	}
	due := m.hashMismatches >= minHashMismatches && now.Sub(m.lastSync) >= interval
	var hs []uint64
	if due {
		m.lastSync, m.hashMismatches = now, 0
		hs = m.t.bucketHashes()
	}
	m.mu.Unlock()
	if due {
		_ = m.syncBuckets(m.ctx, addr, hs)
	}
}

// syncBuckets merges the members of the buckets in which the hashes of the peer
// at addr differ from hs, and queues those for which this node has newer state.
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
	m.withTable(func(t *table, now time.Time) {
		t.requeueDiffering(in.GetDiffering(), us)
		for _, u := range us {
			t.merge(u, now)
		}
	})
	return nil
}

// syncAll reads the whole table and all rumors of the peer at addr, in pages.
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
		m.withTable(func(t *table, now time.Time) { t.mergePage(fromUpdates(in.GetUpdates()), now) })
		m.c.Rumors.Merge(fromRumors(in.GetRumors()))
		if after = in.GetNext(); after == "" {
			return nil
		}
	}
	return errors.Errorf("member table of %s has more than %d pages", addr, maxPages)
}

// probeIndirectly asks indirectProbes members to send a heartbeat to one that
// did not answer, and reports whether any of them got an answer.
func (m *Membership) probeIndirectly(u Update) bool {
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	probers := m.chooseProbers(u)
	answers := make(chan bool, len(probers))
	for _, p := range probers {
		m.wg.Go(func() { answers <- m.requestProbe(ctx, p, u) })
	}
	for range probers {
		if <-answers {
			return true
		}
	}
	return false
}

func (m *Membership) requestProbe(ctx context.Context, prober, target Update) bool {
	c, err := m.client(ctx, prober.VM.Addr)
	if err != nil {
		return false
	}
	in, err := c.Probe(ctx, &memberrpc.ProbeRequest{Target: toUpdate(target)})
	return err == nil && in.GetAnswered()
}

// chooseProbers returns up to indirectProbes random live members, one of them
// from the target's domain if there is one.
func (m *Membership) chooseProbers(target Update) []Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Update
	add := func(us []Update) {
		u, ok := m.pick(us)
		if ok && u.VM.ID != target.VM.ID {
			out = append(out, u)
		}
	}
	all := m.t.liveIn(m.anyDomain)
	for _, u := range all {
		if u.VM.Domain == target.VM.Domain && u.VM.ID != target.VM.ID {
			out = append(out, u)
		}
	}
	m.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(1, len(out))]
	for range indirectProbes - len(out) {
		add(all)
	}
	return out
}
