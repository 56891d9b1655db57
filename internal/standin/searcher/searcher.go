package searcher

import (
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	back "egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/vm"

	"github.com/juju/errors"
)

// Searcher is a running stand-in for a backend server.
type Searcher struct {
	addr  string
	slots chan struct{}

	mu           sync.Mutex
	c            Config
	random       *rand.Rand
	server       *http.Server
	conns        map[*conn]struct{}
	holdings     []back.Holding
	mapRevision  uint64
	admitted     int // requests admitted and not released yet, queued or running
	inFlight     int
	queued       int
	warmUpStart  time.Time
	draining     bool
	drainSince   time.Time
	refuseFrom   time.Time
	slowdown     float64
	shedding     bool
	loadFactor   float64
	thawed       chan struct{} // closed when a freeze ends; nil if not frozen
	load         cached[back.Load]
	status       cached[back.Status]
	stats        Stats
	closed       bool
	restartTimer *time.Timer

	done chan struct{}
	wg   sync.WaitGroup
}

// New starts a searcher that holds no shards.
func New(c Config) (*Searcher, error) {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultQueuePerSlot * c.Slots
	}
	s := &Searcher{
		c:          c,
		slots:      make(chan struct{}, c.Slots),
		random:     rand.New(rand.NewPCG(c.Seed, 1)),
		conns:      map[*conn]struct{}{},
		slowdown:   1,
		loadFactor: 1,
		done:       make(chan struct{}),
	}
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.addr = l.Addr().String()
	s.serve(l)
	return s, nil
}

// Addr returns the IP and port of the listener.
func (s *Searcher) Addr() string { return s.addr }

// ID returns the searcher's id.
func (s *Searcher) ID() string { return s.c.ID }

// VM returns the searcher's entry in the platform's VM list.
func (s *Searcher) VM() vm.VM {
	return vm.VM{ID: s.c.ID, Role: vm.Searcher, Domain: s.c.Domain, Service: s.c.Service, Addr: s.addr, State: vm.Live}
}

// SetHolding replaces the ranges held for version h.Version. Without ranges
// it drops the version.
func (s *Searcher) SetHolding(h back.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hs := make([]back.Holding, 0, len(s.holdings)+1)
	for _, o := range s.holdings {
		if o.Version != h.Version {
			hs = append(hs, o)
		}
	}
	if len(h.Ranges) > 0 {
		hs = append(hs, h)
	}
	s.holdings = hs
	s.mapRevision++
}

// Crash resets all connections and stops listening for downtime; 0 means
// until Restart.
func (s *Searcher) Crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	s.stats.Crashes++
	s.stopLocked()
	if downtime > 0 && !s.closed {
		s.restartTimer = time.AfterFunc(downtime, func() { _ = s.Restart() })
	}
}

// Restart makes a crashed searcher listen again and warm up. On an error it
// retries after restartRetryInterval.
func (s *Searcher) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.restartTimer = time.AfterFunc(restartRetryInterval, func() { _ = s.Restart() })
		return errors.Trace(err)
	}
	s.serve(l)
	return nil
}

// restartRetryInterval is the time between attempts to listen after a crash.
const restartRetryInterval = 50 * time.Millisecond

// serve starts the HTTP server on l. The caller holds s.mu, or s is not
// shared yet.
func (s *Searcher) serve(l net.Listener) {
	s.warmUpStart = time.Now()
	h := &http.Server{Handler: s.routes(), ErrorLog: log.New(io.Discard, "", 0), ConnState: s.trackConn}
	s.server = h
	s.wg.Go(func() { _ = h.Serve(listener{TCPListener: l.(*net.TCPListener), s: s}) })
}

// trackConn makes Close wait for the goroutine of each connection.
func (s *Searcher) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.wg.Add(1)
	case http.StateClosed:
		s.wg.Done()
	}
}

// stopLocked closes the listener and resets the connections. The caller holds
// s.mu.
func (s *Searcher) stopLocked() {
	h, cs := s.server, make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		cs = append(cs, c)
	}
	s.server = nil
	s.wg.Go(func() {
		for _, c := range cs {
			c.reset()
		}
		_ = h.Close()
	})
}

// Close stops the searcher and waits for its goroutines.
func (s *Searcher) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
		s.setFrozenLocked(false)
	}
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	if s.server != nil {
		s.stopLocked()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
