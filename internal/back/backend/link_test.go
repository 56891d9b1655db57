package backend

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/world/vm"
)

// echo answers a query or a status request properly.
func echo(w http.ResponseWriter, r *http.Request) {
	var q searcher.Query
	_ = json.NewDecoder(r.Body).Decode(&q)
	if r.URL.Path == searcher.StatusPath {
		reply(w, http.StatusOK, searcher.Status{ID: "s-1"})
		return
	}
	if r.URL.Path == searcher.WritePath {
		reply(w, http.StatusOK, searcher.WriteAnswer{AttemptID: q.AttemptID, Accepted: true})
		return
	}
	reply(w, http.StatusOK, searcher.Answer{QueryID: q.QueryID, AttemptID: q.AttemptID, Version: q.Version, Range: q.Range})
}

// eventually waits until ok holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting: " + what)
		}
	}
}

// muted is a searcher whose connections can be made silent.
type muted struct {
	conns   sync.Map
	silent  sync.Map
	release chan struct{}
}

func (m *muted) serve(w http.ResponseWriter, r *http.Request) {
	m.conns.Store(r.RemoteAddr, true)
	if _, ok := m.silent.Load(r.RemoteAddr); ok {
		<-m.release
		return
	}
	echo(w, r)
}

func (m *muted) silence() {
	m.conns.Range(func(k, _ any) bool { m.silent.Store(k, true); return true })
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	m := &muted{release: make(chan struct{})}
	b := serve(t, m.serve)
	t.Cleanup(func() { close(m.release) })
	for range 2 {
		if r := b.Search(within(t), query("a")); !r.Outcome.OK() {
			t.Fatal(r.Outcome)
		}
	}
	m.silence()
	if r := b.Search(within(t), query("b")); r.Outcome != outcome.Unknown(outcome.ConnectionSilent) {
		t.Fatalf("outcome %v on a silent connection", r.Outcome)
	}
	if !b.State().Usable {
		t.Fatal("one silent connection made the searcher count as dead")
	}
	if r := b.Search(within(t), query("c")); !r.Outcome.OK() {
		t.Fatalf("outcome %v on a new connection", r.Outcome)
	}
}

// TestFrozenSearcherGetsNoCalls freezes a searcher: its connections stay
// open, new ones are accepted, and nothing answers.
func TestFrozenSearcherGetsNoCalls(t *testing.T) {
	var frozen atomic.Bool
	var calls atomic.Int64
	release := make(chan struct{})
	b := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == searcher.SearchPath {
			calls.Add(1)
		}
		if frozen.Load() {
			<-release
			return
		}
		echo(w, r)
	})
	if r := b.Search(within(t), query("a")); !r.Outcome.OK() {
		t.Fatal(r.Outcome)
	}
	frozen.Store(true)
	if r := b.Search(within(t), query("b")); r.Outcome != outcome.Unknown(outcome.ConnectionSilent) {
		t.Fatalf("outcome %v", r.Outcome)
	}
	before := calls.Load()
	if r := b.Search(within(t), query("c")); r.Outcome != outcome.NotRun(outcome.ConnectionRefused) || b.State().Usable {
		t.Fatalf("outcome %v on a frozen searcher", r.Outcome)
	}
	if n := calls.Load(); n != before {
		t.Fatalf("%d calls reached a frozen searcher", n-before)
	}
	frozen.Store(false)
	close(release)
	eventually(t, "usable again", func() bool { return b.State().Usable })
	if r := b.Search(within(t), query("d")); !r.Outcome.OK() {
		t.Fatal(r.Outcome)
	}
}

func TestWriteProvesAnIdleConnection(t *testing.T) {
	m := &muted{release: make(chan struct{})}
	b := serve(t, m.serve)
	t.Cleanup(func() { close(m.release) })
	if r := b.Search(within(t), query("a")); !r.Outcome.OK() {
		t.Fatal(r.Outcome)
	}
	m.silence()
	b.proofAge = 0
	w := b.Write(within(t), searcher.Write{AttemptID: "w"})
	if !w.Outcome.OK() {
		t.Fatalf("write ended %v though a new connection works", w.Outcome)
	}
}

// limited refuses connections above a number.
type limited struct {
	net.Listener
	open atomic.Int64
	most int64
}

type counted struct {
	net.Conn
	once sync.Once
	l    *limited
}

func (c *counted) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		body, _ := json.Marshal(searcher.Refusal{Reason: outcome.ConnectionRefused})
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		go func() {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}()
	}
}

func TestRefusedConnectionsCostNoCall(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(echo))
	s.Listener = &limited{Listener: s.Listener, most: 2}
	s.Start()
	defer s.Close()
	b := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}, MaxLinks: 8, WarmLinks: 8})
	defer b.Close()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 50 {
				if r := b.Search(within(t), query(fmt.Sprint(i, k))); !r.Outcome.OK() {
					t.Errorf("outcome %v", r.Outcome)
				}
			}
		})
	}
	wg.Wait()
	if st := b.LinkStats(); st.Refused == 0 {
		t.Fatalf("nothing was refused: %+v", st)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(echo))
	defer s.Close()
	b := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}, MaxLinks: 1})
	defer b.Close()
	for range 20 {
		if r := b.Search(within(t), query("a")); !r.Outcome.OK() {
			t.Fatalf("outcome %v", r.Outcome)
		}
		s.CloseClientConnections()
	}
}

// TestForeignServerGetsNoCalls has another searcher answer at the address.
func TestForeignServerGetsNoCalls(t *testing.T) {
	var foreign atomic.Bool
	b := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if !foreign.Load() {
			echo(w, r)
			return
		}
		if r.URL.Path == searcher.StatusPath {
			reply(w, http.StatusOK, searcher.Status{ID: "s-2"})
			return
		}
		http.NotFound(w, r)
	})
	if _, err := b.Poll(within(t)); err != nil {
		t.Fatal(err)
	}
	foreign.Store(true)
	if r := b.Search(within(t), query("a")); r.Outcome != outcome.Unknown(outcome.BadAnswer) {
		t.Fatal(r.Outcome)
	}
	if _, err := b.Poll(within(t)); err == nil {
		t.Fatal("took the page of another searcher")
	}
	eventually(t, "not usable", func() bool { return !b.State().Usable })
	if r := b.Search(within(t), query("b")); r.Outcome != outcome.NotRun(outcome.ConnectionRefused) {
		t.Fatal(r.Outcome)
	}
	foreign.Store(false)
	eventually(t, "usable again", func() bool { return b.State().Usable })
}

func TestWithoutContractNoLinkStays(t *testing.T) {
	b := serve(t, echo)
	b.SetMaxLinks(0)
	for range 3 {
		if _, err := b.Poll(within(t)); err != nil {
			t.Fatal(err)
		}
		// One that was being opened when the contract ended may still come.
		eventually(t, "no link stays open", func() bool { return b.LinkStats().Open == 0 })
	}
	b.SetMaxLinks(3)
	eventually(t, "links are kept open under a contract", func() bool { return b.LinkStats().Open == 3 })
}
