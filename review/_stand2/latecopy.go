package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// copyShare is the share of answers that a searcher sends twice, and copyTime for how long
	// it does so at a time (garble in the site files: x up to 0.05, for_s up to 5.6).
	copyShare  = 0.05
	copyTime   = 5500 * time.Millisecond
	copyPause  = 4500 * time.Millisecond
	copyRounds = 4
	// gatewayCount is the number of machines of the small deployments.
	gatewayCount = 9
)

// lateCopy has the searcher of a service send some of its answers twice. The second copy comes
// where the next answer is expected on the connection.
func lateCopy(d *deployment, trouble bool) []string {
	const host, prefix = "hufi27.example", "/goka902/"
	var rs runs
	var faulty sync.Map
	s := &searcher{id: "i-7f3a91c2", service: "return-intake", zone: zones[0], slots: 4, queue: 2, d: d, runs: &rs,
		work: func() time.Duration { return time.Duration(20+rand.IntN(40)) * time.Millisecond }}
	s.spoil = func(c *searcherConn, answer string) bool {
		if _, on := faulty.Load("on"); on && rand.Float64() < copyShare {
			c.late = answer
		}
		return false
	}
	s.start()
	d.putConfig(map[string]any{"version": 7, "limits": limits,
		"services": []map[string]any{{"name": "return-intake", "health_path": "/health", "max_conns": 45, "protocol": "h1", "tls": false}},
		"routes": []map[string]any{{"name": "r-xmibw6k", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 4000,
			"latency_goal_ms": 250, "priority": 2, "service": "return-intake", "max_attempts": 2}}})
	for n := range gatewayCount {
		d.addGateway(zones[n%len(zones)], d.store.Addr(), nil)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	var a answers
	var wg sync.WaitGroup
	end := time.Now().Add(copyRounds * (copyTime + copyPause))
	for _, g := range d.gateways {
		t := newTransport()
		// One client of each gateway, which sends its next request after an answer.
		wg.Go(func() {
			for time.Now().Before(end) {
				d.send(t, g, &a, "POST", host, prefix+"2f", "meter=17&return=1", 4*time.Second)
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	if trouble {
		for range copyRounds {
			time.Sleep(copyPause)
			faulty.Store("on", true)
			d.record.add("searcher: begins to send some answers twice")
			time.Sleep(copyTime)
			faulty.Delete("on")
			d.record.add("searcher: ends to send some answers twice")
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	return checkPromises(&a, &rs, d)
}

// checkPromises returns the requests that were answered with a status that promises that they
// have not run, and have run, and those that ran twice.
func checkPromises(a *answers, rs *runs, d *deployment) []string {
	var broken []string
	by, statuses := rs.byAttempt(), map[int]int{}
	for _, s := range a.list() {
		statuses[s.status]++
		n := len(by[s.attempt])
		switch s.status {
		case 408, 421, 429, 503:
			if n > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: %s, which is not idempotent, was answered %d and ran %d times, first %.3f s after it was sent", s.attempt, s.status, n, by[s.attempt][0].at.Sub(s.at).Seconds()))
			}
		}
		if n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s, which is not idempotent, ran %d times", s.attempt, n))
		}
	}
	d.record.add("answers by status (0: none): %v", statuses)
	fmt.Println("answers by status:", statuses)
	return broken
}
