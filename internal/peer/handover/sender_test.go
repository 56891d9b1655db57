package handover_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/juju/errors"

	"egrethaven/internal/peer/handover"
	"egrethaven/internal/peer/handoverrpc"
	"egrethaven/internal/peer/peerchoice"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/takeover"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/routing"
)

// vm is a VM that takes over requests.
type vm struct {
	do       func(ctx context.Context, q forward.Request, hangUp func()) forward.Answer
	version  routing.Version
	isolated bool
	// unreachable VMs accept no connection, and earlier ones know no client accounts.
	unreachable, earlier bool
	server               *takeover.Server
	// reply, if not nil, is sent instead of the server's.
	reply    *handoverrpc.AnswerReply
	requests atomic.Int64
	// conn is the VM's end of the last connection.
	conn atomic.Pointer[net.Conn]
}

// tier connects a Sender with VMs over in-memory connections.
type tier map[string]*vm

// newTier returns the VMs and a Sender.
func newTier(vms ...*vm) *handover.Sender {
	t := tier{}
	var peers []peerchoice.Peer
	for n, v := range vms {
		addr := fmt.Sprint("vm-", n)
		// The first VMs are in the own failure domain, the last one is not.
		peers = append(peers, peerchoice.Peer{Addr: addr, Domain: map[bool]string{true: "b", false: "a"}[n == len(vms)-1]})
		t[addr] = v
		v.server = takeover.New(takeover.Config{ConfigVersion: func() routing.Version { return v.version }, Isolated: func() bool { return v.isolated },
			Do: func(ctx context.Context, q forward.Request) forward.Answer {
				v.requests.Add(1)
				return v.do(ctx, q, func() { _ = (*v.conn.Load()).Close() })
			}})
	}
	return handover.New(handover.Config{Dialer: t, Domain: "a", Peers: func() []peerchoice.Peer { return peers }})
}

// Conn opens a connection to a VM.
func (t tier) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	v := t[addr]
	if v.unreachable {
		return nil, errors.WithType(errors.New("refused"), rpc.ErrUnreachable)
	}
	client, conn := net.Pipe()
	v.conn.Store(&conn)
	m := drpcmux.New()
	var server handoverrpc.DRPCHandoverServer = v.server
	if v.reply != nil {
		server = v
	}
	var d drpc.Description = handoverrpc.DRPCHandoverDescription{}
	if v.earlier {
		d = earlierDescription{}
	}
	if err := m.Register(server, d); err != nil {
		return nil, err
	}
	go func() { _ = drpcserver.New(m).ServeOne(ctx, conn) }()
	return drpcconn.New(client), nil
}

// earlierDescription is that of a VM of an earlier build, which knows only the first call.
type earlierDescription struct {
	handoverrpc.DRPCHandoverDescription
}

// NumMethods returns 1.
func (earlierDescription) NumMethods() int { return 1 }

// Answer sends the VM's reply.
func (v *vm) Answer(context.Context, *handoverrpc.AnswerRequest) (*handoverrpc.AnswerReply, error) {
	v.requests.Add(1)
	return v.reply, nil
}

// AnswerForAccount sends the VM's reply.
func (v *vm) AnswerForAccount(ctx context.Context, in *handoverrpc.AnswerRequest) (*handoverrpc.AnswerReply, error) {
	return v.Answer(ctx, in)
}

// answer answers a request with its own body.
func answer(_ context.Context, q forward.Request, _ func()) forward.Answer {
	return forward.Answer{Status: http.StatusOK, Body: append([]byte(q.ID+" "), q.Body...), Header: http.Header{"Stamp": {"s"}}}
}

// request returns a request that arrived 100 ms ago.
func request() forward.Handover {
	now := time.Now()
	return forward.Handover{Request: forward.Request{ID: "1", Method: "POST", Target: "/a/%2F?q", Host: "h", Body: []byte("body"),
		Header: http.Header{"X": {"1", "2"}}, Arrived: now.Add(-100 * time.Millisecond), Timeout: time.Second},
		Route: "r", ConfigVersion: 3, MaxSends: 2, Deadline: now.Add(900 * time.Millisecond)}
}

// fails returns a VM whose engine ends each request for a reason.
func fails(r forward.Reason, status int) *vm {
	return &vm{version: 3, do: func(context.Context, forward.Request, func()) forward.Answer {
		return forward.Answer{Status: status, Reason: r, RetryAfter: time.Second}
	}}
}

// TestAsksNextVM checks that a request gets to the VM that can serve it, unchanged, past
// those that cannot.
func TestAsksNextVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got forward.Request
		last := &vm{version: 4, do: func(ctx context.Context, q forward.Request, hangUp func()) forward.Answer {
			got = q
			return answer(ctx, q, hangUp)
		}}
		s := newTier(&vm{version: 3, isolated: true}, &vm{version: 2}, fails(forward.NoSearcher, 503), last)
		h := request()
		a, ok := s.HandOver(t.Context(), h)
		if !ok || a.Status != http.StatusOK || string(a.Body) != "1 body" || a.Header.Get("Stamp") != "s" || a.AnsweredBy != "vm-3" {
			t.Errorf("%+v, %t", a, ok)
		}
		if got.Target != h.Target || got.Host != "h" || got.Method != "POST" || len(got.Header["X"]) != 2 || !got.HandedOver || got.Sends != 0 {
			t.Errorf("request %+v", got)
		}
		if left := got.Timeout - time.Since(got.Arrived); left > 900*time.Millisecond || left < 880*time.Millisecond {
			t.Errorf("%s left at the other VM, 900 ms here", left)
		}
	})
}

// TestNoVMCanServe checks that the request is not answered if all VMs decline or are not
// reached.
func TestNoVMCanServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTier(&vm{unreachable: true}, fails(forward.NoSearcher, 503), fails(forward.NoRoute, 404))
		if a, ok := s.HandOver(t.Context(), request()); ok {
			t.Errorf("%+v", a)
		}
	})
}

// TestLostAnswer: a request whose answer is lost is handed over again only if it may be
// repeated, and then as one that was sent before; otherwise its end is not a refusal. One that
// had been sent once before it was handed over arrived three times at each shard, two allowed.
func TestLostAnswer(t *testing.T) {
	for _, c := range []struct {
		repeatable  bool
		sentBefore  int
		want, tries int
	}{
		{false, 0, http.StatusBadGateway, 1},
		{true, 0, http.StatusOK, 2},
		{true, 1, http.StatusBadGateway, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			lost, sends := 0, -1
			do := func(ctx context.Context, q forward.Request, hangUp func()) forward.Answer {
				sends = q.Sends
				if lost++; lost == 1 {
					hangUp()
				}
				return answer(ctx, q, hangUp)
			}
			vms := []*vm{{version: 3, do: do}, {version: 3, do: do}, {version: 3, do: do}}
			s, h := newTier(vms...), request()
			h.Repeatable, h.Sends = c.repeatable, c.sentBefore
			a, ok := s.HandOver(t.Context(), h)
			if !ok || a.Status != c.want || lost != c.tries || c.repeatable && sends != 1 {
				t.Errorf("%+v: %+v, %t after %d tries, %d sends before the last", c, a, ok, lost, sends)
			}
			time.Sleep(time.Second)
		})
	}
}

// TestRefusalAfterSend: the refusal of another VM must not tell a client that a request
// has not run which this VM had sent.
func TestRefusalAfterSend(t *testing.T) {
	for mayHaveRun, want := range map[bool]bool{false: true, true: false} {
		synctest.Test(t, func(t *testing.T) {
			h := request()
			h.MayHaveRun = mayHaveRun
			a, ok := newTier(fails(forward.Overloaded, 503)).HandOver(t.Context(), h)
			if ok != want || ok && (a.Status != 503 || a.RetryAfter != time.Second) {
				t.Errorf("sent before: %t; %+v, %t", mayHaveRun, a, ok)
			}
		})
	}
}

// TestRefusalAfterLostAnswer: after one VM's answer was lost, the refusal of the next one
// ended as this VM's own, which says that the request has not run.
func TestRefusalAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		do := func(_ context.Context, _ forward.Request, hangUp func()) forward.Answer {
			if asked++; asked == 1 {
				hangUp()
			}
			return forward.Answer{Status: http.StatusServiceUnavailable, Reason: forward.Overloaded}
		}
		s, h := newTier(&vm{version: 3, do: do}, &vm{version: 3, do: do}), request()
		h.Repeatable = true
		if a, ok := s.HandOver(t.Context(), h); !ok || a.Status != http.StatusBadGateway || asked != 2 {
			t.Errorf("%+v, %t after %d VMs were asked", a, ok, asked)
		}
		time.Sleep(time.Second)
	})
}

// TestClientLeavesOrDeadlinePasses checks that the other VM is told to stop, and that no
// answer says that the request has not run.
func TestClientLeavesOrDeadlinePasses(t *testing.T) {
	for name, want := range map[string]forward.Reason{"leaves": forward.ClientGone, "deadline": forward.DeadlineReached} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if name == "leaves" {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			stopped := make(chan struct{})
			s := newTier(&vm{version: 3, do: func(ctx context.Context, _ forward.Request, _ func()) forward.Answer {
				<-ctx.Done()
				close(stopped)
				return forward.Answer{Reason: forward.ClientGone}
			}})
			a, ok := s.HandOver(ctx, request())
			if !ok || a.Reason != want || a.Status == http.StatusServiceUnavailable {
				t.Errorf("%s: %+v, %t", name, a, ok)
			}
			<-stopped
		})
	}
}

// TestPlannedStop: a VM that stops answers the requests that it has taken over, and
// declines others before it sends anything.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &vm{version: 3, do: func(ctx context.Context, q forward.Request, hangUp func()) forward.Answer {
			time.Sleep(500 * time.Millisecond)
			return answer(ctx, q, hangUp)
		}}
		s := newTier(v)
		answered := make(chan bool)
		go func() {
			a, ok := s.HandOver(t.Context(), request())
			answered <- ok && a.Status == http.StatusOK
		}()
		time.Sleep(100 * time.Millisecond)
		began, stopped := time.Now(), make(chan struct{})
		go func() {
			v.server.Stop(time.Now().Add(5 * time.Second))
			close(stopped)
		}()
		time.Sleep(100 * time.Millisecond)
		if a, ok := s.HandOver(t.Context(), request()); ok {
			t.Errorf("answered during the stop: %+v", a)
		}
		<-stopped
		if !<-answered || time.Since(began) != 400*time.Millisecond || v.requests.Load() != 1 {
			t.Errorf("stopped after %s, %d requests", time.Since(began), v.requests.Load())
		}
	})
}

// TestMalformedReply: a status that net/http cannot send reached the client's handler, where
// it panics, and a reply of an unknown kind passed for a promise that the request has not
// run.
func TestMalformedReply(t *testing.T) {
	for name, reply := range map[string]*handoverrpc.AnswerReply{
		"no status":       {},
		"negative status": {Status: -200},
		"great status":    {Status: 1 << 40},
		"interim status":  {Status: http.StatusEarlyHints},
		"switching":       {Status: http.StatusSwitchingProtocols},
		"status 600":      {Status: 600},
		"status 999":      {Status: 999},
		"body of a 204":   {Status: http.StatusNoContent, Body: []byte("x")},
		"unknown outcome": {Outcome: 7, Status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				malformed, next := &vm{reply: reply}, &vm{version: 3, do: answer}
				h := request()
				a, ok := newTier(malformed, next).HandOver(t.Context(), h)
				if !ok || a.Status != http.StatusBadGateway || a.Reason != forward.AnswerLost || next.requests.Load() != 0 {
					t.Errorf("status %d, reason %s, %v; the next VM got %d requests", a.Status, a.Reason, ok, next.requests.Load())
				}
				h.Repeatable = true
				if a, ok := newTier(&vm{reply: reply}, &vm{version: 3, do: answer}).HandOver(t.Context(), h); !ok || a.Status != http.StatusOK {
					t.Errorf("repeatable: status %d, %v", a.Status, ok)
				}
			})
		})
	}
}

// TestPromiseOfAnotherVM: a VM of an earlier build passes a searcher's 503 on, which
// became a promise to the client that the request had not run.
func TestPromiseOfAnotherVM(t *testing.T) {
	for name, c := range map[string]struct {
		reason     forward.Reason
		status     int
		mayHaveRun bool
		want       int
	}{
		"a searcher's failure":         {forward.SearcherFailed, http.StatusServiceUnavailable, false, http.StatusBadGateway},
		"a searcher's answer":          {forward.Served, http.StatusTooManyRequests, false, http.StatusBadGateway},
		"a reason of a later build":    {"something_new", http.StatusRequestTimeout, false, http.StatusBadGateway},
		"a refusal":                    {forward.Overloaded, http.StatusServiceUnavailable, false, http.StatusServiceUnavailable},
		"a suspect that did not run":   {forward.DeadlineReached, http.StatusServiceUnavailable, false, http.StatusServiceUnavailable},
		"a refusal after a send":       {forward.Overloaded, http.StatusServiceUnavailable, true, 0},
		"a suspect sent before":        {forward.DeadlineReached, http.StatusServiceUnavailable, true, 0},
		"a failure that promises none": {forward.SearcherFailed, http.StatusInternalServerError, true, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := request()
				h.MayHaveRun = c.mayHaveRun
				v := &vm{reply: &handoverrpc.AnswerReply{Status: int64(c.status), Reason: string(c.reason), RetryAfterUs: 1000,
					Headers: []*handoverrpc.Header{{Name: "Stamp", Values: []string{"s"}}}}}
				a, _ := newTier(v).HandOver(t.Context(), h)
				if a.Status != c.want || a.Status == http.StatusBadGateway && (a.RetryAfter != 0 || len(a.Header) > 0) {
					t.Errorf("got %+v, want the status %d", a, c.want)
				}
			})
		})
	}
}

// TestAccount guards against a request of a client account that another VM answers without
// the account: one of an earlier build, one whose configuration does not know it, or one whose
// copy is too old. A VM that does not know one account is asked again for another.
func TestAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := ""
		do := func(ctx context.Context, q forward.Request, hangUp func()) forward.Answer {
			if q.Account != known || !q.HandedOver {
				return forward.Answer{Status: http.StatusUnauthorized, Reason: forward.UnknownKey}
			}
			return answer(ctx, q, hangUp)
		}
		earlier, last := &vm{version: 3, do: do, earlier: true}, &vm{version: 3, do: do}
		s, h := newTier(earlier, fails(forward.KeysOutdated, http.StatusServiceUnavailable), last), request()
		h.Account = "a"
		for _, known = range []string{"b", "a"} {
			if a, ok := s.HandOver(t.Context(), h); ok != (known == "a") || ok && a.AnsweredBy != "vm-2" || earlier.requests.Load() > 0 {
				t.Errorf("%s is known: %+v, %t", known, a, ok)
			}
		}
		// The VM of the earlier build takes a request without an account.
		h.Account, known = "", ""
		if a, ok := newTier(earlier).HandOver(t.Context(), h); !ok || a.Status != http.StatusOK {
			t.Errorf("without an account: %+v, %t", a, ok)
		}
	})
}

// TestRegions guards against a request that is handed over to a VM outside of its regions.
func TestRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The last VM is in the other failure domain.
		s, h := newTier(fails(forward.NoSearcher, http.StatusServiceUnavailable), fails(forward.Served, http.StatusOK)), request()
		for permitted, want := range map[string]bool{"north": false, "south": true} {
			h.Regions = region.New(region.Config{Of: region.Map{"a": "north", "b": "south"}.Of, Own: "a", Route: []string{permitted}})
			if _, ok := s.HandOver(t.Context(), h); ok != want {
				t.Errorf("%s: handed over %t", permitted, ok)
			}
		}
	})
}
