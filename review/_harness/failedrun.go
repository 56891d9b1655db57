package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/platform/standin"
)

// failedRun plays requests that may run once only to a service of eight searchers. One of
// them fails part of its requests for some seconds: it runs them and answers 503 without
// saying that it has not run them. It checks that no request that has run is answered with
// a status that promises that it has not. A client tries again once after such a promise,
// with another attempt ID.
func failedRun(rec *record, dir string, trouble bool) bool {
	const (
		timeout  = 4 * time.Second
		greyTime = 6500 * time.Millisecond
		share    = 45 // of 100 requests that the grey searcher fails
		episodes = 3
		calmTime = 2 * time.Second
		interval = 50 * time.Millisecond
		clients  = 18
	)
	st := standin.NewStore()
	defer st.Close()
	putConfig(st, 1, "p", timeout, sheetBodyBytes)
	born := time.Now().UnixMilli()
	workers := startWorkers(st, "p", born, 30*time.Millisecond, rec)
	gateways := startGateways(st, dir)
	began := time.Now()

	var mu sync.Mutex
	promised := map[string]int{}
	attempts := map[string][]string{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		g := gateways[n%len(gateways)]
		wg.Go(func() {
			c := &http.Client{}
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				work := fmt.Sprintf("w%d-%05d", n, k)
				for try := range 2 {
					id := fmt.Sprintf("%s-%d", work, try)
					rec.addf("client sends %s to gateway %d", id, n%len(gateways))
					a := send(c, g.clientAddr, id, http.MethodPost, "/one/register", "registration "+work, timeout)
					rec.addf("client got for %s: status %d, stamp %q, error %v", id, a.status, a.stamp, a.err)
					promise := a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
					mu.Lock()
					attempts[work] = append(attempts[work], id)
					if promise {
						promised[id] = a.status
					}
					mu.Unlock()
					if !promise {
						break
					}
				}
			}
		})
	}
	for _, grey := range workers[:episodes] {
		time.Sleep(calmTime)
		var count atomic.Int64
		if trouble {
			rec.addf("%s fails part of its requests", grey.id)
			grey.set(func(k *worker) {
				k.answer = func(w http.ResponseWriter, attempt string) {
					if count.Add(1)*share%100 < share {
						rec.addf("%s has run %s and answers 503", k.id, attempt)
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					fmt.Fprintf(w, "done %s", attempt)
				}
			})
		}
		time.Sleep(greyTime)
		grey.set(func(k *worker) { k.answer = nil })
		rec.addf("%s is well", grey.id)
	}
	time.Sleep(calmTime)
	close(stop)
	wg.Wait()

	runs := map[string]int{}
	for _, k := range workers {
		for _, r := range k.runsSince(began) {
			runs[r.attempt]++
		}
	}
	falsePromises, doubled := 0, 0
	for id, status := range promised {
		if runs[id] > 0 {
			falsePromises++
			rec.addf("REFUSED: %s was answered %d and has run", id, status)
		}
	}
	for work, ids := range attempts {
		n := 0
		for _, id := range ids {
			n += runs[id]
		}
		if n > 1 {
			doubled++
			rec.addf("the work of %s has run %d times, as the client believed the promise", work, n)
		}
	}
	verdict := fmt.Sprintf("%d registrations, %d answers promise falsely that the request has not run, %d registrations have run twice", len(attempts), falsePromises, doubled)
	rec.addf("%s", verdict)
	fmt.Println(verdict)
	return falsePromises > 0
}
