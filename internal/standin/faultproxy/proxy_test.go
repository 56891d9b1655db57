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

// eventTimeout limits the wait for an expected event; silencePeriod is the
// time in which no data may arrive.
const (
	eventTimeout  = 20 * time.Second
	silencePeriod = 30 * time.Millisecond
)

// startProxy returns a proxy in front of a TCP echo server.
func startProxy(t *testing.T) *faultproxy.Proxy {
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

// echo sends a line and reads it back, with a deadline for both.
func echo(c net.Conn, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

// echoNewConn calls echo on a new connection. A reset can fail the dial, the
// write or the read, whichever comes after it.
func echoNewConn(p *faultproxy.Proxy) error {
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return err
	}
	defer c.Close()
	return echo(c, eventTimeout)
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func TestSilentOpenConnections(t *testing.T) {
	for name, f := range map[string]faultproxy.Fault{
		"upstream":   {Upstream: faultproxy.Direction{Silent: true}},
		"downstream": {Downstream: faultproxy.Direction{Silent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProxy(t)
			c := dial(t, p)
			if err := echo(c, eventTimeout); err != nil {
				t.Fatal(err)
			}
			p.SetFault(faultproxy.ScopeOpen, f)
			if err := echo(c, silencePeriod); !timedOut(err) {
				t.Error(err)
			}
			if err := echo(dial(t, p), eventTimeout); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestConnectionsCloseAfterBlackhole closes connections while all data is
// dropped. The target must see the close when the fault is removed; otherwise
// it keeps the connections open.
func TestConnectionsCloseAfterBlackhole(t *testing.T) {
	p := startProxy(t)
	openConn := dial(t, p)
	if err := echo(openConn, eventTimeout); err != nil {
		t.Fatal(err)
	}
	p.SetFault(faultproxy.ScopeAll, faultproxy.Blackhole)
	newConn := dial(t, p)
	if err := echo(newConn, silencePeriod); !timedOut(err) {
		t.Error("new connection during the blackhole:", err)
	}
	_ = openConn.Close()
	_ = newConn.Close()
	p.ClearFaults()
	for deadline := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		if open, _ := p.Connections(); open == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("connections closed during the blackhole stay open")
		}
	}
}

func TestCloseResetAndHalfOpen(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	if err := echo(c, eventTimeout); err != nil {
		t.Fatal(err)
	}
	p.HalfOpenConnections()
	if err := echo(c, silencePeriod); !timedOut(err) {
		t.Error("half-open:", err)
	}
	p.ResetConnections()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("reset: read succeeded")
	}
	c = dial(t, p)
	if err := echo(c, eventTimeout); err != nil {
		t.Fatal(err)
	}
	p.CloseConnections()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("closed connection:", err)
	}
}

func TestDelayThroughputAndRefuse(t *testing.T) {
	p := startProxy(t)
	c := dial(t, p)
	p.SetFault(faultproxy.ScopeAll, faultproxy.Fault{Upstream: faultproxy.Direction{DelayMS: 20, JitterMS: 5}, Downstream: faultproxy.Direction{BytesPerSecond: 100}})
	start := time.Now()
	if err := echo(c, eventTimeout); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(start); d < 60*time.Millisecond {
		t.Error("echo took only", d)
	}
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	r, err := http.Post(s.URL+"/fault", "application/json", strings.NewReader(`{"scope":"fresh","fault":{"refuse":true}}`))
	if err != nil || r.StatusCode != http.StatusNoContent {
		t.Fatal(err, r)
	}
	_ = r.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if err := echoNewConn(p); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
		t.Error("refused:", err)
	}
	if err := echo(c, eventTimeout); err != nil {
		t.Error("open connection:", err)
	}
	p.ClearFaults()
	if err := echo(dial(t, p), eventTimeout); err != nil {
		t.Error("after ClearFaults:", err)
	}
}
