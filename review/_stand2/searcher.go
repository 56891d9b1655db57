package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one execution of a request.
type run struct {
	attempt, searcher, what string
	at                      time.Time
}

// runs are the executions by all searchers.
type runs struct {
	mu  sync.Mutex
	all []run
}

// add records an execution.
func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// byAttempt returns the executions by attempt.
func (r *runs) byAttempt() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string][]run{}
	for _, x := range r.all {
		m[x.attempt] = append(m[x.attempt], x)
	}
	return m
}

// searcher is a stand-in of a searcher.
type searcher struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	d                 *deployment
	runs              *runs
	// spoil decides what happens to an answer; nil for a sound searcher.
	spoil func(c *searcherConn, answer string) bool
	// header is added to each answer.
	header func() string
	// hideAddr replaces the registered address.
	addr string

	mu              sync.Mutex
	running, queued int
	free            chan struct{}
	seq             int64
	born            int64
	state           string
	stop            chan struct{}
	l               net.Listener
	stamps          int
	conns           map[net.Conn]struct{}
}

// searcherConn is a connection to a searcher.
type searcherConn struct {
	net.Conn
	// late is an answer that is sent once more where the next one is expected.
	late string
}

// start starts the searcher and registers it.
func (s *searcher) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable(err)
	}
	s.l, s.stop, s.state, s.born = l, make(chan struct{}), "ready", time.Now().UnixMilli()
	if s.addr == "" {
		s.addr = l.Addr().String()
	}
	s.free = make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	go s.accept()
	s.register()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-t.C:
				// The entry changes only when more than seq changes.
				s.mu.Lock()
				s.seq++
				s.mu.Unlock()
			}
		}
	}()
}

// close ends the searcher's process.
func (s *searcher) close() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// register writes the entry of the searcher.
func (s *searcher) register() {
	s.mu.Lock()
	s.seq++
	b, _ := json.Marshal(map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold_left_ms": 0, "seq": s.seq, "born": s.born})
	s.mu.Unlock()
	s.d.store.Put("servers/"+s.id, b)
}

// accept accepts connections.
func (s *searcher) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(&searcherConn{Conn: c})
	}
}

// serve serves one request at a time.
func (s *searcher) serve(c *searcherConn) {
	defer c.Close()
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[c.Conn] = struct{}{}
	s.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if c.late != "" {
			s.d.record.add("%s: second copy of an earlier answer: %s", s.id, firstLines(c.late))
			if _, err := io.WriteString(c, c.late); err != nil {
				return
			}
			c.late = ""
		}
		a := s.answer(q, body)
		if _, err := io.WriteString(c, a); err != nil {
			return
		}
		if s.spoil != nil && s.spoil(c, a) {
			return
		}
	}
}

// firstLines returns the status and the attempt of an answer.
func firstLines(a string) string {
	lines := strings.Split(a, "\r\n")
	out := lines[0]
	for _, l := range lines[1:] {
		if strings.HasPrefix(l, "X-Egrethaven-Attempt-Id") {
			out += ", " + l
		}
	}
	return out
}

// answer answers a request.
func (s *searcher) answer(q *http.Request, body []byte) string {
	attempt := q.Header.Get("X-Egrethaven-Attempt-Id")
	reply := func(status int, header, body string) string {
		s.mu.Lock()
		load := fmt.Sprintf("%d,%d,%d", s.running, s.queued, s.slots)
		s.mu.Unlock()
		more := ""
		if s.header != nil {
			more = s.header()
		}
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Egrethaven-Attempt-Id: %s\r\nX-Egrethaven-Server-Load: %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), attempt, load, header, more, len(body), body)
	}
	if want := q.Header.Get("X-Egrethaven-Expect-Instance"); want != "" && want != s.id {
		return reply(http.StatusMisdirectedRequest, "X-Egrethaven-Instance-Id: "+s.id+"\r\n", "")
	}
	s.mu.Lock()
	if s.queued >= s.queue && len(s.free) == 0 {
		s.mu.Unlock()
		s.d.record.add("%s: rejects %s, full", s.id, attempt)
		return reply(http.StatusServiceUnavailable, "X-Egrethaven-Not-Executed: 1\r\n", "")
	}
	s.queued++
	s.mu.Unlock()
	<-s.free
	s.mu.Lock()
	s.queued--
	s.running++
	s.stamps++
	stamp := fmt.Sprintf("%s.%d", s.id, s.stamps)
	s.mu.Unlock()
	s.runs.add(run{attempt: attempt, searcher: s.id, what: q.Method + " " + q.RequestURI, at: time.Now()})
	s.d.record.add("%s: runs %s (%s %s)", s.id, attempt, q.Method, q.RequestURI)
	time.Sleep(s.work())
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.free <- struct{}{}
	return reply(http.StatusOK, "X-Egrethaven-Server-Stamp: "+stamp+"\r\n", "done by "+stamp)
}
