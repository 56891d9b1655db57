// Package takeover answers requests that other VMs hand over because they cannot reach
// the searchers.
//
// Such a request is treated like one of this VM's own clients, but it is not handed over
// again. A VM that cannot serve it declines before it sends anything, so that the other
// VM may ask another one. A VM that is about to stop declines, and answers what it has
// taken over before.
//
// # Usage
//
//	s := takeover.New(takeover.Config{Do: engine.Do, ConfigVersion: version})
//	err := handoverrpc.DRPCRegisterHandover(server.Mux(), s)
//	s.Stop(deadline)
package takeover

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/peer/handoverrpc"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/routing"
)

// The reasons to decline a request without looking for its searchers.
const (
	stopping  forward.Reason = "stopping"
	isolated  forward.Reason = "isolated"
	oldConfig forward.Reason = "old_config"
)

// maxIncidents is the maximum number of lost searchers that are taken in with a request.
const maxIncidents = 32

// Config configures a Server.
type Config struct {
	// Do answers a request.
	Do func(context.Context, forward.Request) forward.Answer
	// ConfigVersion returns the version of the configuration in force; 0 if there is none.
	ConfigVersion func() routing.Version
	// Isolated reports whether this VM is cut off from searchers itself.
	Isolated func() bool
}

// Server implements the Handover service of handover.proto. Its methods are called by
// drpc.
type Server struct {
	c  Config
	mu sync.Mutex
	// pending counts the requests under way; idle is closed when there is none after Stop.
	pending  int
	stopping bool
	idle     chan struct{}
}

// New returns a Server.
func New(c Config) *Server { return &Server{c: c, idle: make(chan struct{})} }

// Answer answers a request of another VM, or declines it.
func (s *Server) Answer(ctx context.Context, in *handoverrpc.AnswerRequest) (*handoverrpc.AnswerReply, error) {
	if !s.begin() {
		return decline(stopping), nil
	}
	defer s.end()
	switch {
	case s.c.Isolated():
		return decline(isolated), nil
	case s.c.ConfigVersion() < routing.Version(in.GetConfigVersion()):
		return decline(oldConfig), nil
	}
	a := s.c.Do(ctx, decode(time.Now(), in))
	switch a.Reason {
	case forward.NoConfig, forward.NoRoute, forward.NoSearcher, forward.Quarantined, forward.UnknownKey, forward.KeysOutdated:
		return decline(a.Reason), nil
	case forward.ClientGone:
		return nil, errors.New("the client has left")
	}
	return encode(a), nil
}

// AnswerForAccount answers a request of a client account of another VM, or declines it.
func (s *Server) AnswerForAccount(ctx context.Context, in *handoverrpc.AnswerRequest) (*handoverrpc.AnswerReply, error) {
	return s.Answer(ctx, in)
}

// begin counts a request. It reports false once the server is stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.pending++
	return true
}

// end counts the end of a request.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending--; s.stopping && s.pending == 0 {
		close(s.idle)
	}
}

// Stop declines further requests, and returns when those that were taken over have been
// answered, or at the deadline.
func (s *Server) Stop(deadline time.Time) {
	s.mu.Lock()
	if !s.stopping && s.pending == 0 {
		close(s.idle)
	}
	s.stopping = true
	s.mu.Unlock()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-s.idle:
	case <-t.C:
	}
}

// decline returns a reply that declines a request.
func decline(r forward.Reason) *handoverrpc.AnswerReply {
	return &handoverrpc.AnswerReply{Outcome: handoverrpc.AnswerReply_DECLINED, Reason: string(r)}
}

// decode converts a message to a request.
func decode(now time.Time, in *handoverrpc.AnswerRequest) forward.Request {
	q := forward.Request{ID: in.GetId(), Method: in.GetMethod(), Target: in.GetTarget(), Host: in.GetHost(), Body: in.GetBody(),
		Header: http.Header{}, Arrived: now.Add(-microseconds(in.GetElapsedUs())), Timeout: microseconds(in.GetTimeoutUs()),
		NetworkTime: microseconds(in.GetNetworkUs()), HandedOver: true, Sends: int(in.GetSends()), Account: in.GetAccount()}
	for _, h := range in.GetHeaders() {
		q.Header[h.GetName()] = h.GetValues()
	}
	for _, i := range in.GetIncidents()[:min(len(in.GetIncidents()), maxIncidents)] {
		age := time.Duration(min(max(i.GetAgeMs(), 0), quarantine.SuspicionTTL.Milliseconds())) * time.Millisecond
		q.Evidence = append(q.Evidence, quarantine.Incident{Searcher: i.GetSearcher(), Service: i.GetService(), At: now.Add(-age),
			Weight: min(max(i.GetWeight(), 0), 1), Trial: i.GetTrial()})
	}
	return q
}

// microseconds converts microseconds to a duration; negative ones to 0.
func microseconds(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Microsecond }

// encode converts an answer to a message.
func encode(a forward.Answer) *handoverrpc.AnswerReply {
	out := &handoverrpc.AnswerReply{Status: int64(a.Status), Reason: string(a.Reason), Body: a.Body, RetryAfterUs: a.RetryAfter.Microseconds()}
	for name, vs := range a.Header {
		out.Headers = append(out.Headers, &handoverrpc.Header{Name: name, Values: vs})
	}
	return out
}
