package spread

import (
	"context"
	"slices"
	"sync"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/configrpc"
	"egrethaven/internal/state/config"
	"egrethaven/internal/world/vm"
)

// pastKept is how many indexes are kept to make deltas from.
const pastKept = 16

// past holds the latest indexes of this node.
type past struct {
	mu  sync.Mutex
	all []config.Index
}

func (p *past) add(x config.Index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, x)
	p.all = slices.Clone(p.all[max(0, len(p.all)-pastKept):])
}

// find returns the index of a revision with a digest, or the empty one.
func (p *past) find(revision uint64, digest []byte) config.Index {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		if x.Revision != revision {
			continue
		}
		if h := x.Digest(); slices.Equal(h[:], digest) {
			return x
		}
	}
	return config.Index{}
}

// fetchLoop takes newer revisions from the peers that have them, one at a
// time.
func (s *Spread) fetchLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case o := <-s.offers:
			if o.revision > s.c.Manager.Current().Revision {
				s.fetch(o.from)
			}
		}
	}
}

// fetch takes what a peer has in force. When it fails, another heartbeat
// brings another offer.
func (s *Spread) fetch(from vm.VM) {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	d, err := s.ask(ctx, from)
	if err != nil {
		return
	}
	took, err := s.c.Manager.ApplyDelta(d, from.ID)
	if took {
		s.fetched.Add(1)
	}
	if err != nil {
		s.c.Events.Emit(event.PeerRefused, from.ID, err.Error())
	}
}

func (s *Spread) ask(ctx context.Context, from vm.VM) (config.Delta, error) {
	c, err := s.c.Dialer.Conn(ctx, from.Addr)
	if err != nil {
		return config.Delta{}, errors.Trace(err)
	}
	x := s.c.Manager.Index()
	h := x.Digest()
	out, err := configrpc.NewDRPCConfigClient(c).Delta(ctx, &configrpc.DeltaRequest{Base: x.Revision, BaseDigest: h[:]})
	if err != nil {
		return config.Delta{}, errors.Trace(err)
	}
	return fromDelta(out)
}

// Delta answers with what leads to the revision in force. It is called by
// drpc.
func (s *Spread) Delta(_ context.Context, in *configrpc.DeltaRequest) (*configrpc.DeltaReply, error) {
	x, docs := s.c.Manager.Documents()
	return toDelta(config.NewDelta(s.past.find(in.GetBase(), in.GetBaseDigest()), x, docs)), nil
}

func toDelta(d config.Delta) *configrpc.DeltaReply {
	out := &configrpc.DeltaReply{
		Base: d.Base, Revision: d.Revision, ChangeId: d.ChangeID, Digest: d.Digest[:], Remove: d.Remove,
	}
	for _, p := range d.Put {
		out.Put = append(out.Put, &configrpc.Document{
			Name: p.Ref.Name, Hash: p.Ref.Hash[:], Written: p.Ref.WrittenRevision, Body: p.Body,
		})
	}
	return out
}

func fromDelta(p *configrpc.DeltaReply) (config.Delta, error) {
	d := config.Delta{Base: p.GetBase(), Revision: p.GetRevision(), ChangeID: p.GetChangeId(), Remove: p.GetRemove()}
	if copy(d.Digest[:], p.GetDigest()) != len(d.Digest) {
		return d, errors.NotValidf("digest")
	}
	for _, x := range p.GetPut() {
		r := config.Ref{Name: x.GetName(), WrittenRevision: x.GetWritten()}
		if copy(r.Hash[:], x.GetHash()) != len(r.Hash) {
			return d, errors.NotValidf("hash of %q", r.Name)
		}
		d.Put = append(d.Put, config.Document{Ref: r, Body: x.GetBody()})
	}
	return d, nil
}
