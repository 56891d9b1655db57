package rpc_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"storj.io/drpc"

	"egrethaven/internal/peer/rpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo is a service with one method that returns its request. The request
// "wait" blocks until its context ends.
type echo struct{}

type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) { return proto.Marshal(m.(proto.Message)) }
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	return proto.Unmarshal(b, m.(proto.Message))
}

func (echo) NumMethods() int { return 1 }

func (echo) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return "/echo", encoding{}, func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return s.(echo).Echo(ctx, in.(*wrapperspb.BytesValue))
	}, echo.Echo, true
}

func (echo) Echo(ctx context.Context, in *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	if string(in.Value) == "wait" {
		<-ctx.Done()
	}
	return in, nil
}

func startServer(t *testing.T, c rpc.ServerConfig) *rpc.Server {
	c.Listen = "127.0.0.1:0"
	s, err := rpc.NewServer(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Mux().Register(echo{}, echo{}); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	t.Cleanup(func() { s.Close() })
	return s
}

func call(d *rpc.Dialer, addr string, size int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := d.Conn(ctx, addr)
	if err != nil {
		return err
	}
	in := wrapperspb.Bytes(make([]byte, size))
	if size == 0 {
		in.Value = []byte("wait")
	}
	out := &wrapperspb.BytesValue{}
	err = c.Invoke(ctx, "/echo", encoding{}, in, out)
	if err == nil && len(out.Value) != size {
		panic("echo reply has another size than the request")
	}
	return err
}

const callTimeout = 10 * time.Second

func TestAuthentication(t *testing.T) {
	all := func(netip.Addr) bool { return true }
	for _, c := range []struct {
		name, serverKey, dialerKey string
		known                      func(netip.Addr) bool
		admitted                   bool
	}{
		{"same key", "k", "k", nil, true},
		{"other key", "k", "x", all, false},
		{"no key given", "k", "", all, false},
		{"known address", "", "", all, true},
		{"unknown address", "", "k", func(netip.Addr) bool { return false }, false},
		{"no list", "", "", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, rpc.ServerConfig{SharedKey: c.serverKey, IsKnownAddr: c.known})
			d := rpc.NewDialer(rpc.DialerConfig{SharedKey: c.dialerKey})
			defer d.Close()
			if err := call(d, s.Addr(), 100, callTimeout); (err == nil) != c.admitted {
				t.Errorf("call accepted is %v, want %v: %v", err == nil, c.admitted, err)
			}
		})
	}
}

func TestRejectsTooLargeMessage(t *testing.T) {
	s := startServer(t, rpc.ServerConfig{SharedKey: "k", MaxMessageBytes: 1000})
	d := rpc.NewDialer(rpc.DialerConfig{SharedKey: "k"})
	defer d.Close()
	if err := call(d, s.Addr(), 100000, callTimeout); err == nil {
		t.Error("a message above the size limit was accepted")
	}
	if err := call(d, s.Addr(), 500, callTimeout); err != nil {
		t.Error(err)
	}
}

func TestSilentConnectionIsNotReused(t *testing.T) {
	s := startServer(t, rpc.ServerConfig{SharedKey: "k"})
	d := rpc.NewDialer(rpc.DialerConfig{SharedKey: "k"})
	defer d.Close()
	for want := uint64(1); want <= 2; want++ {
		if err := call(d, s.Addr(), 0, 50*time.Millisecond); err == nil {
			t.Fatal("a call without a reply succeeded")
		}
		if err := call(d, s.Addr(), 10, callTimeout); err != nil {
			t.Fatal(err)
		}
		if n := d.Counts().Connections; n < 2 {
			t.Fatalf("%d connections, want at least 2: the silent one was reused", n)
		}
	}
}

func TestConnectionIsReusedAndCounted(t *testing.T) {
	s := startServer(t, rpc.ServerConfig{SharedKey: "k"})
	d := rpc.NewDialer(rpc.DialerConfig{SharedKey: "k"})
	defer d.Close()
	for range 10 {
		if err := call(d, s.Addr(), 1000, callTimeout); err != nil {
			t.Fatal(err)
		}
	}
	n := d.Counts()
	if n.Connections != 1 || n.BytesOut < 10000 || n.BytesIn < 10000 {
		t.Errorf("counts are %+v after 10 sequential calls of 1000 bytes", n)
	}
}
