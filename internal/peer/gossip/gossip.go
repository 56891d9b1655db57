// Package gossip passes rumors on among the gateways of a tier.
//
// A VM with news tells some VMs, which pass it on. As long as it holds any rumor it also
// compares all that it holds with the others in turn, so that one that has started since,
// or was cut off, has them as well. A VM without rumors makes no calls, but for one at its
// start.
//
// A VM of an earlier build that does not know the call is left alone.
//
// # Usage
//
//	g := gossip.New(gossip.Config{Rumors: set, Dialer: dialer, Addr: addr, Domain: "sapporo", Peers: peers})
//	err := rumorrpc.DRPCRegisterRumors(server.Mux(), g)
//	g.Run(ctx)
package gossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/peerchoice"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/peer/rumorrpc"
)

const (
	// fanOut is the number of VMs that are told news at a time, roundInterval the time
	// between two such rounds, and newsDelay that before the first one, so that news of the
	// same moment leave together.
	fanOut        = 3
	roundInterval = 100 * time.Millisecond
	newsDelay     = 20 * time.Millisecond
	// Each compareInterval, a VM that holds rumors compares them with comparePeers others:
	// one that none of them chooses for four seconds is one in thousands.
	compareInterval = time.Second
	comparePeers    = 2
	// callTimeout limits one call.
	callTimeout = 400 * time.Millisecond
	// failedCooldown is how long a VM that did not answer is left alone, and
	// unsupportedCooldown one that does not know the call.
	failedCooldown      = 1500 * time.Millisecond
	unsupportedCooldown = 30 * time.Second
	// maxJoinTries is the number of intervals in which a VM that has just started asks for
	// the rumors of others. After that, they will tell it.
	maxJoinTries = 10
	// maxNewsBytes limits the rumors in a message with news, and maxCompareBytes those that
	// two VMs exchange when they find that they do not have the same. All VMs compare each
	// second, over links that carry clients' requests.
	maxNewsBytes    = 8 << 10
	maxCompareBytes = 4 << 10
	// maxSends is the number of VMs that a VM tells a rumor; comparing does the rest.
	maxSends = 5
	// unreachedTime is how long after a failed call a VM counts as not reached.
	unreachedTime = 6 * time.Second
)

// unknownCall is part of the error of a VM that does not know the call.
const unknownCall = "unknown rpc"

// Dialer opens connections to other VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures a Gossip.
type Config struct {
	Rumors *rumor.Set
	Dialer Dialer
	// Addr is this VM's address for calls of other VMs, and Domain its failure domain.
	Addr, Domain string
	// Peers returns the other VMs.
	Peers  func() []peerchoice.Peer
	Events event.Sink
}

// Gossip passes rumors on. It implements the Rumors service of rumor.proto. It is safe for
// concurrent use.
type Gossip struct {
	c    Config
	news chan struct{}

	mu sync.Mutex
	// contacts holds what is known of other VMs by address, and calledAt when they were
	// called last.
	contacts map[string]contact
	calledAt map[string]time.Time
}

// contact is what is known of another VM.
type contact struct {
	// restsUntil is until when it is left alone.
	restsUntil time.Time
	// failedAt is when a call failed last; zero if one has succeeded since.
	failedAt time.Time
}

// New returns a Gossip.
func New(c Config) *Gossip {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	g := &Gossip{c: c, news: make(chan struct{}, 1), contacts: map[string]contact{}, calledAt: map[string]time.Time{}}
	c.Rumors.SubscribeAll(func(rumor.Rumor) { g.wake() })
	return g
}

// wake makes Run tell news.
func (g *Gossip) wake() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// Run passes rumors on until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	round := time.NewTimer(0)
	round.Stop()
	defer round.Stop()
	due := false
	for joinTries := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-g.news:
			if !due {
				due = true
				round.Reset(newsDelay)
			}
		case <-round.C:
			due = g.c.Rumors.HasPending()
			if due {
				g.tell(ctx, &wg)
				round.Reset(roundInterval)
			}
		case <-compare.C:
			switch joining := joinTries < maxJoinTries; {
			case g.c.Rumors.Len() > 0:
				joinTries = maxJoinTries
				for _, p := range g.choose(time.Now(), g.c.Peers(), comparePeers) {
					wg.Go(func() { _ = g.compare(ctx, p) })
				}
				g.wake()
			case joining && g.join(ctx):
				joinTries = maxJoinTries
			case joining:
				joinTries++
			}
		}
	}
}

// tell sends news to some VMs, without waiting for the answers.
func (g *Gossip) tell(ctx context.Context, wg *sync.WaitGroup) {
	for _, p := range g.choose(time.Now(), g.c.Peers(), fanOut) {
		rs := g.c.Rumors.Take(maxNewsBytes, maxSends)
		if len(rs) == 0 {
			return
		}
		wg.Go(func() {
			if _, err := g.call(ctx, p.Addr, rs, 0); err != nil {
				g.c.Rumors.Requeue(rs)
			}
		})
	}
}

// join asks one VM for its rumors, and reports whether it answered.
func (g *Gossip) join(ctx context.Context) bool {
	for _, p := range g.choose(time.Now(), g.c.Peers(), 1) {
		return g.compare(ctx, p) == nil
	}
	return false
}

// choose returns up to n VMs that are not left alone, in random order those that were not
// called for the longest time. One of them is of another failure domain if there is one.
func (g *Gossip) choose(now time.Time, peers []peerchoice.Peer, n int) []peerchoice.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]peerchoice.Peer, 0, len(peers))
	calledAt := make(map[string]time.Time, len(peers))
	for _, k := range rand.Perm(len(peers)) {
		calledAt[peers[k].Addr] = g.calledAt[peers[k].Addr]
		if !now.Before(g.contacts[peers[k].Addr].restsUntil) {
			all = append(all, peers[k])
		}
	}
	g.calledAt = calledAt
	slices.SortStableFunc(all, func(a, b peerchoice.Peer) int { return calledAt[a.Addr].Compare(calledAt[b.Addr]) })
	chosen := all[:min(n, len(all))]
	isRemote := func(p peerchoice.Peer) bool { return p.Domain != g.c.Domain }
	if k := slices.IndexFunc(all, isRemote); k >= len(chosen) {
		chosen[len(chosen)-1] = all[k]
	}
	for _, p := range chosen {
		calledAt[p.Addr] = now
	}
	return chosen
}

// compare compares the rumors of a VM with those of this one. If they differ, both tell each
// other some.
func (g *Gossip) compare(ctx context.Context, p peerchoice.Peer) error {
	out, err := g.call(ctx, p.Addr, nil, g.digest())
	if err != nil {
		return errors.Trace(err)
	}
	g.c.Rumors.Merge(decode(out.GetRumors()))
	if out.GetDigest() == g.digest() {
		return nil
	}
	_, err = g.call(ctx, p.Addr, g.sample(), 0)
	return errors.Trace(err)
}

// digest returns a hash of all rumors, which is not 0.
func (g *Gossip) digest() uint64 { return max(g.c.Rumors.Digest(), 1) }

// call makes one call to the VM at addr. It gets rumors in return if its digest is another
// one than the given one, unless that is 0.
func (g *Gossip) call(ctx context.Context, addr string, rs []rumor.Rumor, digest uint64) (*rumorrpc.ExchangeReply, error) {
	out, err := g.tryCall(ctx, addr, rs, digest)
	g.record(addr, err)
	return out, err
}

// tryCall is call without recording the result.
func (g *Gossip) tryCall(ctx context.Context, addr string, rs []rumor.Rumor, digest uint64) (*rumorrpc.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := g.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	out, err := rumorrpc.NewDRPCRumorsClient(c).Exchange(ctx, &rumorrpc.ExchangeRequest{From: g.c.Addr, Rumors: encode(rs), Digest: digest})
	return out, errors.Trace(err)
}

// record records the result of a call.
func (g *Gossip) record(addr string, err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		delete(g.contacts, addr)
	case strings.Contains(err.Error(), unknownCall):
		g.contacts[addr] = contact{restsUntil: now.Add(unsupportedCooldown)}
		g.c.Events.Emit(event.SharingFailed, addr, "an earlier build, which does not take part in rumors")
	default:
		g.contacts[addr] = contact{restsUntil: now.Add(failedCooldown), failedAt: now}
	}
}

// Unreached reports whether this VM could not tell a VM of the tier its rumors.
func (g *Gossip) Unreached() bool {
	now, peers := time.Now(), g.c.Peers()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := make(map[string]contact, len(peers))
	unreached := false
	for _, p := range peers {
		if c, ok := g.contacts[p.Addr]; ok {
			known[p.Addr] = c
			unreached = unreached || !c.failedAt.IsZero() && now.Sub(c.failedAt) < unreachedTime
		}
	}
	g.contacts = known
	return unreached
}

// Exchange takes in the rumors of another VM, and returns some of this VM's if it asks for
// them and they differ.
func (g *Gossip) Exchange(_ context.Context, in *rumorrpc.ExchangeRequest) (*rumorrpc.ExchangeReply, error) {
	g.mu.Lock()
	delete(g.contacts, in.GetFrom())
	g.mu.Unlock()
	g.c.Rumors.Merge(decode(in.GetRumors()))
	if in.GetDigest() == 0 {
		return &rumorrpc.ExchangeReply{}, nil
	}
	out := &rumorrpc.ExchangeReply{Digest: g.digest()}
	if out.Digest != in.GetDigest() {
		out.Rumors = encode(g.sample())
	}
	return out, nil
}

// sample returns rumors of at most maxCompareBytes: the newest ones for half of it, and
// random ones.
func (g *Gossip) sample() []rumor.Rumor {
	all := g.c.Rumors.All()
	slices.SortStableFunc(all, func(a, b rumor.Rumor) int { return cmp.Compare(b.TTL, a.TTL) })
	size, n := 0, 0
	for shuffled := false; n < len(all); n++ {
		if !shuffled && size+all[n].Size() > maxCompareBytes/2 {
			rest := all[n:]
			rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
			shuffled = true
		}
		if size += all[n].Size(); size > maxCompareBytes {
			break
		}
	}
	return all[:n]
}

// encode converts rumors to messages.
func encode(rs []rumor.Rumor) []*rumorrpc.Rumor {
	out := make([]*rumorrpc.Rumor, len(rs))
	for i, r := range rs {
		out[i] = &rumorrpc.Rumor{Kind: uint32(r.Kind), Key: r.Key, Origin: r.Origin, Sequence: r.Sequence, TtlMs: r.TTL.Milliseconds(), Payload: r.Payload}
	}
	return out
}

// decode converts messages to rumors, which are not validated yet.
func decode(in []*rumorrpc.Rumor) []rumor.Rumor {
	out := make([]rumor.Rumor, len(in))
	// What clears a request comes before what accuses it.
	in = slices.Clone(in)
	slices.SortStableFunc(in, func(a, b *rumorrpc.Rumor) int { return cmp.Compare(b.GetKind(), a.GetKind()) })
	for i, r := range in {
		ttl := min(max(r.GetTtlMs(), 0), rumor.MaxTTL.Milliseconds()+1)
		out[i] = rumor.Rumor{Kind: rumor.Kind(r.GetKind()), Key: r.GetKey(), Origin: r.GetOrigin(), Sequence: r.GetSequence(),
			TTL: time.Duration(ttl) * time.Millisecond, Payload: r.GetPayload()}
	}
	return out
}
