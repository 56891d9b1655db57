package rpc

import (
	"net"
	"sync"
	"testing"

	"egrethaven/internal/infra/readbudget"
)

// TestEndlessMessagesTogether: the message of each connection was bounded, but the sum of
// many at a time was not.
func TestEndlessMessagesTogether(t *testing.T) {
	const limit, connections = 1 << 20, 16
	b := readbudget.New(readbudget.Config{Limit: limit})
	var wg sync.WaitGroup
	for range connections {
		near, far := net.Pipe()
		c := newCountedConn(near, &counters{}, b)
		wg.Go(func() {
			block := make([]byte, 32<<10)
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
			buffer := make([]byte, 64<<10)
			for {
				if _, err := c.Read(buffer); err != nil {
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
