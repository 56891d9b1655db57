// Package handover hands requests over to other VMs.
//
// A VM that cannot reach the searchers of a request may still reach a VM that does. The
// request is handed over once: the other VM answers it, or declines it before it sends
// anything, and then another one is asked. If an answer is lost, a request that may run
// once only is not handed over again.
//
// # Usage
//
//	s := handover.New(handover.Config{Dialer: dialer, Domain: domain, Peers: peers})
//	a, ok := s.HandOver(ctx, h)
package handover

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/back/reply"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/handoverrpc"
	"egrethaven/internal/peer/peerchoice"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/query/forward"
)

const (
	// maxTries is the number of VMs that are asked to take over one request.
	maxTries = 4
	// returnMargin is the time for the answer's way back, by which another VM has to
	// answer earlier.
	returnMargin = 5 * time.Millisecond
	// unknownCall is part of the error of a VM of an earlier build that does not know the call
	// for requests of client accounts, and reasonUnsupported the reason for which such a VM
	// counts as having declined.
	unknownCall       = `unknown rpc: "/handoverrpc.Handover/AnswerForAccount"`
	reasonUnsupported = "unsupported"
)

// Dialer opens connections to other VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures a Sender.
type Config struct {
	Dialer Dialer
	// Domain is this VM's failure domain.
	Domain string
	// Peers returns the other VMs.
	Peers func() []peerchoice.Peer
	// Observe is called with the outcome of each try; nil for none.
	Observe func(outcome string)
	Events  event.Sink
}

// Sender hands requests over. It is safe for concurrent use.
type Sender struct {
	c       Config
	tracker *peerchoice.Tracker
}

// New returns a Sender.
func New(c Config) *Sender {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Observe == nil {
		c.Observe = func(string) {}
	}
	return &Sender{c: c, tracker: peerchoice.New(peerchoice.Config{Domain: c.Domain})}
}

// HandOver returns the answer of another VM. It reports false if no VM can serve the
// request and none can have sent it to a searcher.
func (s *Sender) HandOver(ctx context.Context, h forward.Handover) (forward.Answer, bool) {
	ctx, cancel := context.WithDeadline(ctx, h.Deadline)
	defer cancel()
	peers := s.c.Peers()
	s.tracker.Retain(peers)
	excluded := func(tried []peerchoice.Peer, p peerchoice.Peer) bool {
		return slices.Contains(tried, p) || !h.Regions.PermitsVM(p.Domain)
	}
	var tried []peerchoice.Peer
	mayHaveRun := h.MayHaveRun
	for len(tried) < maxTries && ctx.Err() == nil {
		p, ok := s.tracker.Choose(time.Now(), h.Route, peers, func(p peerchoice.Peer) bool { return excluded(tried, p) })
		if !ok {
			break
		}
		tried = append(tried, p)
		a, outcome, err := s.try(ctx, p, h)
		if outcome == peerchoice.Served && mayHaveRun && forward.PromisesNotRun(a.Status) {
			break
		}
		if outcome == peerchoice.Served {
			return a, true
		}
		if outcome == peerchoice.Declined && a.Reason == forward.Quarantined {
			break
		}
		if outcome == peerchoice.Failed && !errors.Is(err, rpc.ErrUnreachable) {
			mayHaveRun = true
			if !h.Repeatable {
				break
			}
			// The next VM must not take its send for the first one, and this one may have
			// made the last permitted one.
			if h.Sends++; h.Sends >= h.MaxSends {
				break
			}
		}
	}
	if mayHaveRun == h.MayHaveRun {
		return forward.Answer{}, false
	}
	return unanswered(ctx, tried[len(tried)-1]), true
}

// unanswered returns the answer to a request that a VM may have run without answering.
func unanswered(ctx context.Context, p peerchoice.Peer) forward.Answer {
	a := forward.Answer{Status: http.StatusBadGateway, Reason: forward.AnswerLost, AnsweredBy: p.Addr}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		a.Status, a.Reason = http.StatusGatewayTimeout, forward.DeadlineReached
	case context.Canceled:
		a.Reason = forward.ClientGone
	}
	return a
}

// try asks one VM.
func (s *Sender) try(ctx context.Context, p peerchoice.Peer, h forward.Handover) (forward.Answer, peerchoice.Outcome, error) {
	s.tracker.Begin(time.Now(), p)
	out, err := s.call(ctx, p.Addr, h)
	o := peerchoice.Served
	switch {
	case err != nil:
		o = peerchoice.Failed
		s.c.Observe("failed")
		s.c.Events.Emit(event.HandoverFailed, p.Addr, err.Error())
	case out.GetOutcome() != handoverrpc.AnswerReply_ANSWERED:
		o = peerchoice.Declined
		s.c.Observe("declined")
	default:
		s.c.Observe("answered")
	}
	known := o
	if r := forward.Reason(out.GetReason()); o == peerchoice.Declined && (r == forward.Quarantined || r == forward.UnknownKey) {
		// The VM declines this request, and could serve others of the route.
		known = peerchoice.Served
	}
	s.tracker.End(time.Now(), h.Route, p, known)
	return decode(p.Addr, out), o, err
}

// call makes the call to one VM.
func (s *Sender) call(ctx context.Context, addr string, h forward.Handover) (*handoverrpc.AnswerReply, error) {
	c, err := s.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	k := handoverrpc.NewDRPCHandoverClient(c)
	answer := k.Answer
	if h.Account != "" {
		answer = k.AnswerForAccount
	}
	out, err := answer(ctx, encode(time.Now(), h))
	if err != nil && strings.Contains(err.Error(), unknownCall) {
		return &handoverrpc.AnswerReply{Outcome: handoverrpc.AnswerReply_DECLINED, Reason: reasonUnsupported}, nil
	}
	if err != nil {
		return out, errors.Trace(err)
	}
	return out, errors.Trace(check(out))
}

// check returns an error if a reply is none that a VM sends. Such a VM may have run the
// request, whatever else the reply says.
func check(out *handoverrpc.AnswerReply) error {
	switch o := out.GetOutcome(); {
	case o == handoverrpc.AnswerReply_DECLINED:
		return nil
	case o != handoverrpc.AnswerReply_ANSWERED:
		return errors.Errorf("a reply with the unknown outcome %d", o)
	}
	return errors.Trace(reply.Check(int(out.GetStatus()), len(out.GetBody())))
}

// encode converts a request to a message.
func encode(now time.Time, h forward.Handover) *handoverrpc.AnswerRequest {
	in := &handoverrpc.AnswerRequest{Id: h.ID, Method: h.Method, Target: h.Target, Host: h.Host, Body: h.Body,
		ElapsedUs: now.Sub(h.Arrived).Microseconds(), NetworkUs: (h.NetworkTime + returnMargin).Microseconds(),
		TimeoutUs:     max(h.Deadline.Sub(h.Arrived)-returnMargin, 0).Microseconds(),
		ConfigVersion: int64(h.ConfigVersion), Sends: int64(h.Sends), Account: h.Account}
	for _, i := range h.Evidence {
		in.Incidents = append(in.Incidents, &handoverrpc.Incident{Searcher: i.Searcher, Service: i.Service,
			AgeMs: now.Sub(i.At).Milliseconds(), Weight: i.Weight, Trial: i.Trial})
	}
	for name, vs := range h.Header {
		in.Headers = append(in.Headers, &handoverrpc.Header{Name: name, Values: vs})
	}
	return in
}

// decode converts the reply of a VM to an answer. A VM of an earlier build passes on what a
// searcher answers after it has run a request, also with a status that promises that it has
// not.
func decode(addr string, out *handoverrpc.AnswerReply) forward.Answer {
	if r := forward.Reason(out.GetReason()); forward.PromisesNotRun(int(out.GetStatus())) && !r.IsRefusal() {
		return forward.Answer{Status: http.StatusBadGateway, Reason: forward.SearcherFailed, AnsweredBy: addr}
	}
	a := forward.Answer{Status: int(out.GetStatus()), Body: out.GetBody(), RetryAfter: time.Duration(out.GetRetryAfterUs()) * time.Microsecond,
		Reason: forward.Reason(out.GetReason()), AnsweredBy: addr, Header: http.Header{}}
	for _, h := range out.GetHeaders() {
		a.Header[h.GetName()] = h.GetValues()
	}
	return a
}
