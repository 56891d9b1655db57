package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is a request of a client and its answer.
type sent struct {
	attempt string
	gateway string
	status  int
	stamp   string
	at      time.Time
	took    time.Duration
	err     error
}

// answers are the requests of all clients.
type answers struct {
	mu  sync.Mutex
	all []sent
}

// list returns all requests.
func (a *answers) list() []sent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]sent(nil), a.all...)
}

// newAttempt returns a new attempt ID.
func newAttempt() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newTransport returns the connections of a client.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
}

// send sends a request and records the answer. deadline is what the client will wait.
func (d *deployment) send(t *http.Transport, g *gateway, a *answers, method, host, target, body string, deadline time.Duration) sent {
	s := sent{attempt: newAttempt(), gateway: g.name, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+g.client+target, strings.NewReader(body))
	if err != nil {
		unable(err)
	}
	q.Host = host
	q.Header.Set("X-Egrethaven-Attempt-Id", s.attempt)
	q.Header.Set("X-Egrethaven-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	d.record.add("client: %s sent to %s: %s %s", s.attempt, g.name, method, target)
	r, err := t.RoundTrip(q)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		s.status, s.stamp = r.StatusCode, r.Header.Get("X-Egrethaven-Server-Stamp")
	}
	s.err, s.took = err, time.Since(s.at)
	if err != nil {
		d.record.add("client: %s ended without an answer after %s: %v", s.attempt, s.took.Round(time.Millisecond), err)
	} else {
		d.record.add("client: %s answered %d after %s, Retry-After %q", s.attempt, s.status, s.took.Round(time.Millisecond), r.Header.Get("Retry-After"))
	}
	a.mu.Lock()
	a.all = append(a.all, s)
	a.mu.Unlock()
	return s
}
