package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"egrethaven/platform/dialect"
	"egrethaven/platform/standin"
)

// The socket options of the searchers' listeners make a loopback connection like one over
// an Ethernet link with a small window: with loopback segments of 64 KB the kernel of the
// sender would buffer megabytes.
const (
	ethernetMSS   = 1460
	receiveWindow = 64 << 10
)

// listenEthernet listens on a free loopback port with these options.
func listenEthernet() net.Listener {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetMSS); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveWindow)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("starting a searcher: %v", err)
	}
	return l
}

// longSearcher is a searcher of requests with long bodies. It may reject one before it has
// read the body, and reads the rest readOnAfter later.
type longSearcher struct {
	id, zone string
	l        net.Listener
	rec      *record
	early    atomic.Bool
	rejected atomic.Int64
}

const (
	longWork    = 60 * time.Millisecond
	readOnAfter = 2500 * time.Millisecond
	// earlyShare is the share of requests that a faulty searcher rejects early.
	earlyShare = 0.05
)

func (s *longSearcher) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		attempt := q.Header.Get(dialect.AttemptID)
		early := s.early.Load() && rand.Float64() < earlyShare
		if early {
			s.rejected.Add(1)
			s.rec.addf("%s rejects %s before it has read its body", s.id, attempt)
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", dialect.AttemptID, attempt, dialect.NotExecuted)
			time.Sleep(readOnAfter)
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if early {
			s.rec.addf("%s has read the rest of %s", s.id, attempt)
			continue
		}
		s.rec.addf("%s runs %s", s.id, attempt)
		time.Sleep(longWork)
		body := "done " + attempt
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			dialect.AttemptID, attempt, dialect.ServerStamp, s.id, attempt, len(body), body)
	}
}

// earlyReject plays requests with long bodies to a service of eight searchers, half of which
// reject some requests before they have read the body. It checks that requests without an
// answer at their route's timeout have one half a second later.
func earlyReject(rec *record, dir string, trouble bool) bool {
	const (
		routeTimeout = time.Second
		answerSlack  = 500 * time.Millisecond
		patience     = 2 * time.Second
		bodyBytes    = 3 << 20
		faultyTime   = 5 * time.Second
		calmTime     = 3 * time.Second
		episodes     = 10
		interval     = 45 * time.Millisecond
		minCounted   = 3 // one or two could be chance
	)
	st := standin.NewStore()
	defer st.Close()
	putConfig(st, 1, "p", routeTimeout, longBodyBytes)
	var searchers []*longSearcher
	for i := range searcherCount {
		s := &longSearcher{id: workerName("p", i), zone: zoneName(i), l: listenEthernet(), rec: rec}
		go func() {
			for {
				c, err := s.l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		putSearcher(st, "p", s.id, s.l.Addr().String(), s.zone, 1, time.Now().UnixMilli())
		searchers = append(searchers, s)
	}
	gateways := startGateways(st, dir)

	body := strings.Repeat("x", bodyBytes)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, served, late, stuck atomic.Int64
	for n, g := range gateways {
		wg.Go(func() {
			var requests sync.WaitGroup
			defer requests.Wait()
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				id := fmt.Sprintf("a%d-%05d", n, k)
				requests.Go(func() {
					rec.addf("client sends %s to gateway %d", id, n)
					client := *c
					a := send(&client, g.clientAddr, id, http.MethodPost, "/one/x", body, patience)
					rec.addf("client got for %s: status %d, error %v, after %s", id, a.status, a.err, a.elapsed.Round(time.Millisecond))
					sent.Add(1)
					switch {
					case a.elapsed >= routeTimeout+answerSlack:
						stuck.Add(1)
					case a.elapsed >= routeTimeout:
						late.Add(1)
					case a.status == http.StatusOK:
						served.Add(1)
					}
				})
			}
		})
	}
	for range episodes {
		time.Sleep(calmTime)
		for i, s := range searchers {
			s.early.Store(trouble && i%2 == 0)
		}
		rec.addf("faulty time begins")
		time.Sleep(faultyTime)
		for _, s := range searchers {
			s.early.Store(false)
		}
		rec.addf("faulty time ends")
	}
	time.Sleep(calmTime)
	close(stop)
	wg.Wait()
	rejected := int64(0)
	for _, s := range searchers {
		rejected += s.rejected.Load()
	}
	unanswered := late.Load() + stuck.Load()
	verdict := fmt.Sprintf("%d requests, %d served in time, %d sends rejected early; %d had no answer at the route's timeout of %s, %d of them none %s later either",
		sent.Load(), served.Load(), rejected, unanswered, routeTimeout, stuck.Load(), answerSlack)
	rec.addf("%s", verdict)
	fmt.Println(verdict)
	return stuck.Load() >= minCounted && 2*stuck.Load() > unanswered
}
