package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/platform/dialect"
	"egrethaven/platform/standin"
)

// brokenExtra plays a busy service of eight searchers, some of which send additional bytes
// after complete responses: a second response that breaks off in its header. It checks that
// no client gets a success with the signature of another request.
func brokenExtra(rec *record, dir string, trouble bool) bool {
	const (
		timeout    = 4 * time.Second
		faultyTime = 5 * time.Second
		faulty     = 4    // of 8 searchers
		spoilShare = 0.03 // of their responses
		clients    = 240
		pause      = 100 * time.Millisecond
	)
	st := standin.NewStore()
	defer st.Close()
	putConfig(st, 1, "p", timeout, sheetBodyBytes)
	var searchers []*rawSearcher
	for i := range searcherCount {
		s := newRawSearcher(workerName("p", i), zoneName(i), 20*time.Millisecond, rec)
		putSearcher(st, "p", s.id, s.addr(), s.zone, 1, time.Now().UnixMilli())
		searchers = append(searchers, s)
	}
	gateways := startGateways(st, dir)

	var sent, served, mixed atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		g := gateways[n%len(gateways)]
		wg.Go(func() {
			var c net.Conn
			var r *bufio.Reader
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int64N(int64(2 * pause)))):
				}
				if c == nil {
					var err error
					if c, err = net.DialTimeout("tcp", g.clientAddr, time.Second); err != nil {
						cannotRun("connecting to a gateway: %v", err)
					}
					r = bufio.NewReader(c)
				}
				id := fmt.Sprintf("a%03d-%05d", n, k)
				body := "work " + id
				rec.addf("client sends %s to gateway %d", id, n%len(gateways))
				sent.Add(1)
				_ = c.SetDeadline(time.Now().Add(timeout))
				fmt.Fprintf(c, "POST /one/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
					host, dialect.AttemptID, id, dialect.DeadlineMS, timeout.Milliseconds(), len(body), body)
				a, err := http.ReadResponse(r, nil)
				var got []byte
				if err == nil {
					got, err = io.ReadAll(a.Body)
				}
				if err != nil {
					rec.addf("client got no answer to %s: %v", id, err)
					_ = c.Close()
					c = nil
					continue
				}
				stamps := a.Header.Values(dialect.ServerStamp)
				rec.addf("client got for %s: status %d, stamps %q, body %q", id, a.StatusCode, stamps, got)
				if a.StatusCode == http.StatusOK {
					served.Add(1)
					if slices.ContainsFunc(stamps, func(s string) bool { return !strings.HasSuffix(s, "."+id) }) || string(got) != "done "+id {
						mixed.Add(1)
						rec.addf("MIXED: the success for %s has the stamps %q and the body %q", id, stamps, got)
					}
				}
				if a.Close {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, s := range searchers[:faulty] {
			rec.addf("%s is faulty", s.id)
			s.mu.Lock()
			s.spoil = func() bool { return rand.Float64() < spoilShare }
			s.mu.Unlock()
		}
	}
	time.Sleep(faultyTime)
	spoiled := 0
	for _, s := range searchers {
		s.mu.Lock()
		s.spoil = nil
		spoiled += s.spoiled
		s.mu.Unlock()
	}
	rec.addf("all searchers are well")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	verdict := fmt.Sprintf("%d requests, %d served; %d responses were followed by additional bytes; %d successes with the signature of another request", sent.Load(), served.Load(), spoiled, mixed.Load())
	rec.addf("%s", verdict)
	fmt.Println(verdict)
	return mixed.Load() > 0
}
