package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"egrethaven/platform/standin"
)

// darkSearcher plays requests with long bodies to a service of eight searchers, one of
// which falls silent for some seconds, several times. It checks that requests without an
// answer at their route's timeout have one half a second later.
func darkSearcher(rec *record, dir string, trouble bool) bool {
	const (
		routeTimeout = time.Second
		answerSlack  = 500 * time.Millisecond
		patience     = 2 * time.Second
		bodyBytes    = 3 << 20
		darkTime     = 4500 * time.Millisecond
		gap          = 4 * time.Second
		episodes     = 7
		interval     = 120 * time.Millisecond
		minCounted   = 8
	)
	st := standin.NewStore()
	defer st.Close()
	putConfig(st, routeTimeout, longBodyBytes)
	var searchers []*searcherProcess
	for i := range 8 {
		s := startSearcher(fmt.Sprintf("i-%d", i), fmt.Sprintf("zone%d", i%3), 250*time.Millisecond, rec)
		putSearcher(st, s.id, s.addr, s.zone, 1, time.Now().UnixMilli())
		searchers = append(searchers, s)
	}
	var gateways []*gateway
	for i := range 3 {
		gateways = append(gateways, startGateway(i, st.Addr(), dir))
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(3 * time.Second)

	body := strings.Repeat("x", bodyBytes)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served, late, stuck := 0, 0, 0, 0
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
					mu.Lock()
					defer mu.Unlock()
					sent++
					switch {
					case a.elapsed >= routeTimeout+answerSlack:
						stuck++
					case a.elapsed >= routeTimeout:
						late++
					case a.status == http.StatusOK:
						served++
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	for e := range episodes {
		s := searchers[e%len(searchers)]
		if trouble {
			rec.addf("searcher %s falls silent", s.id)
			if err := s.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
				cannotRun("stopping a searcher: %v", err)
			}
		}
		time.Sleep(darkTime)
		if trouble {
			rec.addf("searcher %s is back", s.id)
			if err := s.cmd.Process.Signal(syscall.SIGCONT); err != nil {
				cannotRun("continuing a searcher: %v", err)
			}
		}
		time.Sleep(gap)
	}
	close(stop)
	wg.Wait()
	unanswered := late + stuck
	verdict := fmt.Sprintf("%d requests, %d served in time; %d had no answer at the route's timeout of %s, %d of them none %s later either",
		sent, served, unanswered, routeTimeout, stuck, answerSlack)
	rec.addf("%s", verdict)
	fmt.Println(verdict)
	return stuck >= minCounted && 4*stuck > unanswered
}
