package member

import (
	"math"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/memberrpc"
	"egrethaven/internal/peer/rumor"
)

func toUpdate(u Update) *memberrpc.Update {
	return &memberrpc.Update{
		Id: u.VM.ID, Domain: string(u.VM.Domain), Addr: u.VM.Addr,
		Incarnation: u.Incarnation, State: uint32(u.State),
	}
}

func fromUpdate(p *memberrpc.Update) Update {
	return Update{
		VM: vm.VM{
			ID: p.GetId(), Role: vm.Entry, Domain: failuredomain.Domain(p.GetDomain()),
			Addr: p.GetAddr(), State: vm.Live,
		},
		Incarnation: p.GetIncarnation(), State: State(p.GetState()),
	}
}

func toUpdates(us []Update) []*memberrpc.Update {
	out := make([]*memberrpc.Update, len(us))
	for i, u := range us {
		out[i] = toUpdate(u)
	}
	return out
}

func fromUpdates(ps []*memberrpc.Update) []Update {
	out := make([]Update, len(ps))
	for i, p := range ps {
		out[i] = fromUpdate(p)
	}
	return out
}

func toRumors(rs []rumor.Rumor) []*memberrpc.Rumor {
	out := make([]*memberrpc.Rumor, len(rs))
	for i, r := range rs {
		out[i] = &memberrpc.Rumor{
			Kind: uint32(r.Kind), Key: r.Key, Origin: r.Origin, Sequence: r.Sequence,
			TtlMs: uint32(min(r.TTL.Milliseconds(), math.MaxUint32)), Payload: r.Payload,
		}
	}
	return out
}

func fromRumors(ps []*memberrpc.Rumor) []rumor.Rumor {
	out := make([]rumor.Rumor, len(ps))
	for i, p := range ps {
		out[i] = rumor.Rumor{
			Kind: rumor.Kind(p.GetKind()), Key: p.GetKey(), Origin: p.GetOrigin(), Sequence: p.GetSequence(),
			TTL: time.Duration(p.GetTtlMs()) * time.Millisecond, Payload: p.GetPayload(),
		}
	}
	return out
}

func toDigest(d Digest) *memberrpc.Digest {
	p := &memberrpc.Digest{Revision: d.Revision}
	if d.AgeKnown {
		p.Confirmed = uint64(max(0, d.Age.Milliseconds())) + 1
	}
	return p
}

// maxReportedAge caps the age in a peer's digest.
const maxReportedAge = 30 * 24 * time.Hour

func fromDigest(p *memberrpc.Digest) Digest {
	d := Digest{Revision: p.GetRevision(), AgeKnown: p.GetConfirmed() > 0}
	if d.AgeKnown {
		d.Age = time.Duration(min(p.GetConfirmed()-1, uint64(maxReportedAge.Milliseconds()))) * time.Millisecond
	}
	return d
}
