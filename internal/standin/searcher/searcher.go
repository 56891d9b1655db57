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

// Searcher is a running stand-in.
type Searcher struct {
	addr  string
	slots chan struct{}

	mu         sync.Mutex
	c          Config
	random     *rand.Rand
	server     *http.Server
	conns      map[*conn]struct{}
	holdings   []back.Holding
	revision   uint64
	placed     int // requests in a slot, in the queue, or on the way there
	inFlight   int
	queued     int
	started    time.Time
	draining   bool
	drainSince time.Time
	refuseFrom time.Time
	slow       float64
	shed       bool
	mislead    float64
	thaw       chan struct{} // closed at the end of a freeze; nil without one
	load       cached[back.Load]
	status     cached[back.Status]
	stats      Stats
	closed     bool
	restart    *time.Timer

	done chan struct{}
	wg   sync.WaitGroup
}

// New starts a searcher that holds no shard yet.
func New(c Config) (*Searcher, error) {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	if c.Queue == 0 {
		c.Queue = QueuePerSlot * c.Slots
	}
	s := &Searcher{
		c:       c,
		slots:   make(chan struct{}, c.Slots),
		random:  rand.New(rand.NewPCG(c.Seed, 1)),
		conns:   map[*conn]struct{}{},
		slow:    1,
		mislead: 1,
		done:    make(chan struct{}),
	}
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.addr = l.Addr().String()
	s.serve(l)
	return s, nil
}

// Addr returns where the searcher listens.
func (s *Searcher) Addr() string { return s.addr }

// ID returns the searcher's id.
func (s *Searcher) ID() string { return s.c.ID }

// VM describes the searcher as the platform lists it.
func (s *Searcher) VM() vm.VM {
	return vm.VM{ID: s.c.ID, Role: vm.Searcher, Domain: s.c.Domain, Service: s.c.Service, Addr: s.addr, State: vm.Live}
}

// Hold replaces what the searcher has of one version; no ranges drops it.
func (s *Searcher) Hold(h back.Holding) {
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
	s.revision++
}

// Crash resets all connections and stops listening for a time, or until
// Start when down is 0.
func (s *Searcher) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	s.stats.Crashes++
	s.stop()
	if down > 0 && !s.closed {
		s.restart = time.AfterFunc(down, func() { _ = s.Start() })
	}
}

// Start lets a crashed searcher listen again, cold.
func (s *Searcher) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.restart = time.AfterFunc(restartRetry, func() { _ = s.Start() })
		return errors.Trace(err)
	}
	s.serve(l)
	return nil
}

// restartRetry is the wait before a searcher tries again to listen.
const restartRetry = 50 * time.Millisecond

// serve starts to serve on l. The lock is held, or s is not shared yet.
func (s *Searcher) serve(l net.Listener) {
	s.started = time.Now()
	h := &http.Server{Handler: s.routes(), ErrorLog: log.New(io.Discard, "", 0), ConnState: s.track}
	s.server = h
	s.wg.Go(func() { _ = h.Serve(listener{TCPListener: l.(*net.TCPListener), s: s}) })
}

// track makes Close wait for the goroutine of each connection.
func (s *Searcher) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.wg.Add(1)
	case http.StateClosed:
		s.wg.Done()
	}
}

// stop closes the listener and resets the connections. The lock is held.
func (s *Searcher) stop() {
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
		s.setFreeze(false)
	}
	if s.restart != nil {
		s.restart.Stop()
	}
	if s.server != nil {
		s.stop()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
