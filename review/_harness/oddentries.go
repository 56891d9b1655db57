package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"egrethaven/platform/decode"
	"egrethaven/platform/standin"
)

// quotaPeriod and quotaRun make a gateway's processor one with a quota of 0.4 of a core: it
// runs for 40 ms of each 100 ms.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaRun    = 40 * time.Millisecond
)

// limitProcessor stops and continues a gateway in turn until stop is closed.
func (g *gateway) limitProcessor(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(quotaPeriod - quotaRun):
		}
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(quotaRun)
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
	}
}

// oddEntries writes entries of another writer, which nobody can read, among those of the
// searchers, and then a configuration that moves the route to another service. It checks
// that the new configuration is in force config_apply_ms later.
func oddEntries(rec *record, dir string, trouble bool) bool {
	const (
		entries     = 60
		entryBytes  = 1 << 20 // max_value_bytes
		entryEvery  = 20 * time.Millisecond
		apply       = 3 * time.Second
		observeTime = 30 * time.Second
		patience    = 4 * time.Second
		interval    = 50 * time.Millisecond
	)
	st := standin.NewStore()
	defer st.Close()
	putConfig(st, 1, "p", patience, sheetBodyBytes)
	born := time.Now().UnixMilli()
	old := startWorkers(st, "p", born, 10*time.Millisecond, rec)
	startWorkers(st, "q", born, 10*time.Millisecond, rec)
	gateways := startGateways(st, dir)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range gateways {
		wg.Go(func() { g.limitProcessor(stop) })
	}
	time.Sleep(settleTime)
	if trouble {
		junk := bytes.Repeat([]byte("x"), entryBytes)
		rec.addf("another writer writes %d entries of %d bytes", entries, entryBytes)
		for i := range entries {
			st.Put(fmt.Sprintf("%sodd-%d", decode.SearcherPrefix, i), junk)
			time.Sleep(entryEvery)
		}
	}
	putConfig(st, 2, "q", patience, sheetBodyBytes)
	acked := time.Now()
	rec.addf("version 2 is acknowledged: the route moves from service p to q")
	var sent, stale, last atomic.Int64
	for n, g := range gateways {
		wg.Go(func() {
			c := &http.Client{}
			for k := 0; time.Since(acked) < observeTime; k++ {
				id := fmt.Sprintf("a%d-%05d", n, k)
				since := time.Since(acked)
				rec.addf("client sends %s to gateway %d", id, n)
				a := send(c, g.clientAddr, id, http.MethodPost, "/one/x", "work "+id, patience)
				rec.addf("client got for %s: status %d, stamp %q, error %v", id, a.status, a.stamp, a.err)
				sent.Add(1)
				if strings.HasPrefix(a.stamp, "p-") && since > apply {
					stale.Add(1)
					last.Store(max(last.Load(), int64(since)))
					rec.addf("CONFIG: %s was sent %s after the acknowledgement and run by the old service", id, since.Round(time.Millisecond))
				}
				time.Sleep(interval)
			}
		})
	}
	time.Sleep(observeTime)
	close(stop)
	wg.Wait()
	ran := 0
	for _, k := range old {
		ran += len(k.runsSince(acked.Add(apply)))
	}
	verdict := fmt.Sprintf("%d requests; %d were sent later than %s after the acknowledgement and run by the old service, the last %s after it; the old service ran %d in that time",
		sent.Load(), stale.Load(), apply, time.Duration(last.Load()).Round(time.Millisecond), ran)
	rec.addf("%s", verdict)
	fmt.Println(verdict)
	return stale.Load() > 0
}
