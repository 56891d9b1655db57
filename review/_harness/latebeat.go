package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"egrethaven/platform/decode"
	"egrethaven/platform/standin"
)

// lateBeat plays batches of requests to a service of eight searchers. The store loses the
// answer to one write of a searcher and makes the write six seconds later. Meanwhile that
// searcher has written several times, and has left without reporting that it drains: its
// entry is removed, and it serves for some seconds more. It checks that no request reaches
// the searcher later than drain_ms after the removal was acknowledged.
func lateBeat(rec *record, dir string, trouble bool) bool {
	const (
		timeout      = 4 * time.Second
		beat         = 1200 * time.Millisecond
		lostAt       = 6400 * time.Millisecond
		late         = 6 * time.Second
		leavesAt     = 10500 * time.Millisecond
		drainTime    = 3 * time.Second
		exitsAt      = 14050 * time.Millisecond // drain_ms and a little longer after leavesAt
		end          = 20 * time.Second
		batchEvery   = 5 * time.Second
		firstBatchAt = 4 * time.Second
		batch        = 20
	)
	st := standin.NewStore()
	defer st.Close()
	putConfig(st, 1, "p", timeout, sheetBodyBytes)
	born := time.Now().UnixMilli()
	workers := startWorkers(st, "p", born, 60*time.Millisecond, rec)
	gateways := startGateways(st, dir)
	began := time.Now()
	leaver := workers[0]
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	status := map[string]int{}
	var wg sync.WaitGroup
	at := func(d time.Duration, f func()) {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(d)))
			f()
		})
	}
	var removedAt time.Time
	seq := 1
	for d := beat; d < end; d += beat {
		seq++
		for _, k := range workers {
			n := seq
			switch {
			case k == leaver && d > leavesAt:
			case k == leaver && trouble && d <= lostAt && d+beat > lostAt:
				at(d, func() { rec.addf("the store loses the write %d of %s", n, k.id) })
				at(d+late, func() {
					rec.addf("the store makes the write %d of %s", n, k.id)
					putSearcher(st, "p", k.id, k.addr(), k.zone, n, born)
				})
				at(d+late+3*beat, func() {
					rec.addf("the entry of %s is removed after three intervals of silence", k.id)
					st.Delete(decode.SearcherPrefix + k.id)
				})
			default:
				at(d, func() { putSearcher(st, "p", k.id, k.addr(), k.zone, n, born) })
			}
		}
	}
	at(leavesAt, func() {
		leaver.set(func(k *worker) { k.leaving = true })
		st.Delete(decode.SearcherPrefix + leaver.id)
		removedAt = time.Now()
		rec.addf("%s leaves: the removal of its entry is acknowledged", leaver.id)
	})
	at(exitsAt, func() {
		rec.addf("%s exits", leaver.id)
		leaver.srv.CloseClientConnections()
		leaver.srv.Close()
	})
	for d := firstBatchAt; d < end; d += batchEvery {
		for n, g := range gateways {
			for k := range batch {
				id := fmt.Sprintf("a%d-%05d-%02d", n, d.Milliseconds(), k)
				at(d, func() {
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					rec.addf("client sends %s to gateway %d", id, n)
					a := send(&http.Client{}, g.clientAddr, id, http.MethodPost, "/one/x", "work "+id, timeout)
					rec.addf("client got for %s: status %d, stamp %q, error %v", id, a.status, a.stamp, a.err)
					mu.Lock()
					defer mu.Unlock()
					status[id] = a.status
				})
			}
		}
	}
	wg.Wait()
	broken, lost := 0, 0
	for _, r := range leaver.runsSince(removedAt) {
		if late := sentAt[r.attempt].Sub(removedAt); late > drainTime {
			broken++
			rec.addf("DRAIN: %s was sent %s after the acknowledgement and has reached %s; its client got status %d", r.attempt, late.Round(time.Millisecond), leaver.id, status[r.attempt])
			if status[r.attempt] != http.StatusOK {
				lost++
			}
		}
	}
	verdict := fmt.Sprintf("%d requests, %d reached the searcher more than %s after its entry was removed, %d of them were lost as it exited", len(sentAt), broken, drainTime, lost)
	rec.addf("%s", verdict)
	fmt.Println(verdict)
	return broken > 0
}
