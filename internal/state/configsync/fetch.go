package configsync

import (
	"context"
	"slices"
	"sync"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/configrpc"
	"egrethaven/internal/state/config"
)

// maxIndexHistory is the number of indexes kept as bases for deltas.
const maxIndexHistory = 16

// indexHistory holds the latest configuration indexes of this node.
type indexHistory struct {
	mu      sync.Mutex
	indexes []config.Index
}

func (ih *indexHistory) add(x config.Index) {
	ih.mu.Lock()
	defer ih.mu.Unlock()
	ih.indexes = append(ih.indexes, x)
	ih.indexes = slices.Clone(ih.indexes[max(0, len(ih.indexes)-maxIndexHistory):])
}

// find returns the index with the given revision and digest, or an empty index
// if it is not kept.
func (ih *indexHistory) find(revision uint64, digest []byte) config.Index {
	ih.mu.Lock()
	defer ih.mu.Unlock()
	for _, x := range ih.indexes {
		if x.Revision != revision {
			continue
		}
		if h := x.Digest(); slices.Equal(h[:], digest) {
			return x
		}
	}
	return config.Index{}
}

// fetchLoop fetches newer revisions from the peers that announced them, one at
// a time.
func (s *Syncer) fetchLoop() {
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

// fetch fetches a delta from a peer and applies it with the Manager. It is not
// retried: the next heartbeat brings another offer.
func (s *Syncer) fetch(from vm.VM) {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	d, err := s.requestDelta(ctx, from)
	if err != nil {
		return
	}
	adopted, err := s.c.Manager.ApplyDelta(d, from.ID)
	if adopted {
		s.fetched.Add(1)
	}
	if err != nil {
		s.c.Events.Emit(event.PeerRefused, from.ID, err.Error())
	}
}

func (s *Syncer) requestDelta(ctx context.Context, from vm.VM) (config.Delta, error) {
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

// Delta returns the delta from the requested base to the revision in force, or
// the whole configuration if the base is no longer kept. It is called by drpc.
func (s *Syncer) Delta(_ context.Context, in *configrpc.DeltaRequest) (*configrpc.DeltaReply, error) {
	x, docs := s.c.Manager.Documents()
	return toDelta(config.NewDelta(s.history.find(in.GetBase(), in.GetBaseDigest()), x, docs)), nil
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
		return d, errors.NotValidf("delta with an index digest of %d bytes", len(p.GetDigest()))
	}
	for _, x := range p.GetPut() {
		r := config.Ref{Name: x.GetName(), WrittenRevision: x.GetWritten()}
		if copy(r.Hash[:], x.GetHash()) != len(r.Hash) {
			return d, errors.NotValidf("delta with a hash of %d bytes for search %q", len(x.GetHash()), r.Name)
		}
		d.Put = append(d.Put, config.Document{Ref: r, Body: x.GetBody()})
	}
	return d, nil
}
