package rpc

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"storj.io/drpc"
	"storj.io/drpc/drpcwire"

	"egrethaven/internal/infra/readbudget"
)

// TestEndlessMessagesTogether: the message of each connection was bounded, but the sum of
// many at a time was not. Bytes were read before they were counted, and returned with the
// error that there is no memory for them; drpc then doubled its buffer once more.
func TestEndlessMessagesTogether(t *testing.T) {
	const limit, connections = 1 << 20, 16
	b := readbudget.New(readbudget.Config{Limit: limit})
	var wg sync.WaitGroup
	for range connections {
		near, far := net.Pipe()
		c := newCountedConn(near, &counters{}, b)
		wg.Go(func() {
			block := make([]byte, 2*readStep)
			for {
				if _, err := far.Write(block); err != nil {
					return
				}
				if used := b.Used(); used > limit {
					t.Errorf("%d bytes in use, limit %d", used, limit)
				}
			}
		})
		wg.Go(func() {
			defer c.Close()
			buffer := make([]byte, 2*readStep)
			for {
				n, err := c.Read(buffer)
				if n > readStep || n > 0 && err != nil {
					t.Errorf("read %d bytes at a time, %v", n, err)
				}
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes in use after the connections were closed", used)
	}
}

// TestMessageEndsWithReply checks that a message is not accounted for any more once it is
// answered.
func TestMessageEndsWithReply(t *testing.T) {
	const size = 100 << 10
	b := readbudget.New(readbudget.Config{Limit: 1 << 20})
	near, far := net.Pipe()
	defer far.Close()
	c := newCountedConn(near, &counters{}, b)
	defer c.Close()
	go func() {
		buffer := make([]byte, size)
		for range 100 {
			if _, err := far.Write(buffer); err != nil {
				return
			}
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, size)
	for range 100 {
		for n := 0; n < size; {
			m, err := c.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			n += m
		}
		if _, err := c.Write([]byte("ok")); err != nil {
			t.Fatal(err)
		}
		if used := b.Used(); used != 0 {
			t.Fatalf("%d bytes in use after the reply", used)
		}
	}
}

// sink is a service whose method reads its request and answers without a text.
type sink struct{}

func (sink) NumMethods() int { return 1 }

func (sink) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return "/sink", sink{}, func(any, context.Context, any, any) (drpc.Message, error) {
		return &wrapperspb.BytesValue{}, nil
	}, sink.answer, true
}

func (sink) answer(context.Context, *wrapperspb.BytesValue) (*wrapperspb.BytesValue, error) {
	return nil, nil
}

func (sink) Marshal(m drpc.Message) ([]byte, error)   { return proto.Marshal(m.(proto.Message)) }
func (sink) Unmarshal(b []byte, m drpc.Message) error { return proto.Unmarshal(b, m.(proto.Message)) }

// TestKeptBuffersCount: the memory of a message was released with its answer, while drpc kept
// the buffers that it took for as long as the peer kept the connection open. Peers that send
// one long message each, and then nothing, may take what the budget allows in all, and the
// last of them is answered as the first one.
func TestKeptBuffersCount(t *testing.T) {
	const limit, size, peers = 8 << 20, 1 << 20, 32
	b := readbudget.New(readbudget.Config{Limit: limit})
	s, err := NewServer(ServerConfig{Listen: "127.0.0.1:0", SharedKey: "k", Budget: b})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Mux().Register(sink{}, sink{}); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	defer s.Close()
	request, err := proto.Marshal(wrapperspb.Bytes(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	frame := func(kind drpcwire.Kind, message uint64, data []byte) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 1, Message: message}, Kind: kind, Done: true})
	}
	call := append(frame(drpcwire.KindInvoke, 1, []byte("/sink")), frame(drpcwire.KindMessage, 2, request)...)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for range peers {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if err := clientHandshake(c, "k", time.Minute); err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(time.Minute))
		if _, err := c.Write(call); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatalf("no answer to a long message: %v", err)
		}
		if used := b.Used(); used > limit {
			t.Errorf("%d bytes in use, limit %d", used, limit)
		}
	}
	// drpc may hold three bytes for each byte of a message, of which two count.
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		more := int64(heap()) - int64(before)
		if more <= 2*limit {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d bytes of memory after all messages were answered, limit %d", more, limit)
		}
	}
	s.Close()
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes in use after the connections were closed", used)
	}
}
