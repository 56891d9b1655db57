package conn

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// TestExchangeBesideClose: an exchange that started after the reader had seen that the
// connection closed, or unsolicited bytes, and before it closed the connection, never ended.
func TestExchangeBesideClose(t *testing.T) {
	for name, err := range map[string]error{"closed": io.EOF, "unsolicited bytes": nil} {
		client, server := net.Pipe()
		// No reader runs: the test takes its steps.
		k := &Conn{conn: client}
		if x := k.currentOrRetire(err); x != nil {
			t.Fatalf("%s: an exchange is in progress", name)
		}
		go func() { _, _ = io.Copy(io.Discard, server) }()
		started := k.Start(Request{Method: http.MethodGet, Bytes: []byte("x"), Done: func(Result) { t.Errorf("%s: Done was called", name) }})
		k.finish(nil, Result{}, false)
		if started {
			t.Errorf("%s: an exchange was started that never ends", name)
		}
		_ = server.Close()
	}
}
