package faultproxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"egrethaven/internal/standin/faultproxy"

	"go.uber.org/goleak"
)

// giveUp bounds the wait for an event; quiet is how long nothing is to come.
const (
	giveUp = 20 * time.Second
	quiet  = 30 * time.Millisecond
)

// start returns a proxy in front of a server that echoes lines.
func start(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	p, err := faultproxy.New(faultproxy.Config{Target: l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Close()
		_ = l.Close()
		goleak.VerifyNone(t)
	})
	return p
}

func dial(t *testing.T, p *faultproxy.Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a line and reads it back within the wait.
func echo(c net.Conn, wait time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

// echoFresh echoes over a new connection. A reset can be seen by the dial, by
// the write or by the read, whichever comes after it.
func echoFresh(p *faultproxy.Proxy) error {
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return err
	}
	defer c.Close()
	return echo(c, giveUp)
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func TestSilenceOfOpenConnections(t *testing.T) {
	for name, f := range map[string]faultproxy.Fault{
		"up":   {Upstream: faultproxy.Direction{Silent: true}},
		"down": {Downstream: faultproxy.Direction{Silent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t)
			c := dial(t, p)
			if err := echo(c, giveUp); err != nil {
				t.Fatal(err)
			}
			p.SetFault(faultproxy.ScopeOpen, f)
			if err := echo(c, quiet); !timedOut(err) {
				t.Error(err)
			}
			if err := echo(dial(t, p), giveUp); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCutConnectionsEndOnceHealed closes connections during a cut: the target
// hears of it when the cut is over, and keeps none of them.
func TestCutConnectionsEndOnceHealed(t *testing.T) {
	p := start(t)
	old := dial(t, p)
	if err := echo(old, giveUp); err != nil {
		t.Fatal(err)
	}
	p.SetFault(faultproxy.ScopeAll, faultproxy.Blackhole)
	fresh := dial(t, p)
	if err := echo(fresh, quiet); !timedOut(err) {
		t.Error("cut:", err)
	}
	_ = old.Close()
	_ = fresh.Close()
	p.ClearFaults()
	for end := time.Now().Add(giveUp); ; time.Sleep(time.Millisecond) {
		if open, _ := p.Connections(); open == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("connections closed during the cut stay open")
		}
	}
}

func TestCutResetAndHalfOpen(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	if err := echo(c, giveUp); err != nil {
		t.Fatal(err)
	}
	p.HalfOpenConnections()
	if err := echo(c, quiet); !timedOut(err) {
		t.Error("half-open:", err)
	}
	p.ResetConnections()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("reset: read succeeded")
	}
	c = dial(t, p)
	if err := echo(c, giveUp); err != nil {
		t.Fatal(err)
	}
	p.CloseConnections()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("cut:", err)
	}
}

func TestDelaySlowAndRefuse(t *testing.T) {
	p := start(t)
	c := dial(t, p)
	p.SetFault(faultproxy.ScopeAll, faultproxy.Fault{Upstream: faultproxy.Direction{DelayMS: 20, JitterMS: 5}, Downstream: faultproxy.Direction{BytesPerSecond: 100}})
	began := time.Now()
	if err := echo(c, giveUp); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(began); d < 60*time.Millisecond {
		t.Error("answer after", d)
	}
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	r, err := http.Post(s.URL+"/fault", "application/json", strings.NewReader(`{"scope":"fresh","fault":{"refuse":true}}`))
	if err != nil || r.StatusCode != http.StatusNoContent {
		t.Fatal(err, r)
	}
	_ = r.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if err := echoFresh(p); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Error("refused:", err)
	}
	if err := echo(c, giveUp); err != nil {
		t.Error("open connection:", err)
	}
	p.ClearFaults()
	if err := echo(dial(t, p), giveUp); err != nil {
		t.Error("healed:", err)
	}
}
