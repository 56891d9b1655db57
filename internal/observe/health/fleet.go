package health

import (
	"context"
	"slices"
	"sync"
	"time"

	"egrethaven/internal/infra/failuredomain"
)

// domainReports holds the reports from the nodes of one failure domain, and the
// IDs of the nodes that did not answer.
type domainReports struct {
	reports      []Report
	unresponsive []string
}

// FleetReport returns the health of each search in each failure domain, based on this
// node's evidence and on reports that it fetches from other nodes. It selects a
// few nodes per failure domain, partly at random on each call.
func (k *Collector) FleetReport(ctx context.Context) Report {
	r := k.LocalReport()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	domains := k.fetchAll(ctx)
	now := time.Now()
	k.updateReachability(domains, now)
	own := domains[k.c.Domain]
	own.reports = append(own.reports, r)
	domains[k.c.Domain] = own
	r.States = k.mergeAll(domains, now)
	r.At = now
	return r
}

// fetchAll fetches the reports of the selected peers in parallel.
func (k *Collector) fetchAll(ctx context.Context) map[failuredomain.Domain]domainReports {
	domains := make(map[failuredomain.Domain]domainReports)
	if k.c.Domains != nil {
		for _, d := range k.c.Domains() {
			domains[d] = domainReports{}
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range k.selectPeers() {
		wg.Go(func() {
			start := time.Now()
			rep, err := k.fetch(ctx, p)
			elapsed := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			g := domains[p.Domain]
			if err != nil || rep.Node != p.ID {
				g.unresponsive = append(g.unresponsive, p.ID)
			} else {
				g.reports = append(g.reports, addAge(rep, elapsed))
			}
			domains[p.Domain] = g
		})
	}
	wg.Wait()
	return domains
}

// fetch returns the report of one peer, or an error if Config.FetchReport is nil.
func (k *Collector) fetch(ctx context.Context, p Peer) (Report, error) {
	if k.c.FetchReport == nil {
		return Report{}, context.Canceled
	}
	return k.c.FetchReport(ctx, p)
}

// selectPeers returns the peers that run canary queries and, for each failure
// domain, random other peers up to maxNodesPerDomain.
func (k *Collector) selectPeers() []Peer {
	ps := k.peers()
	k.mu.Lock()
	k.c.Rand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	k.mu.Unlock()
	hashes := make(map[failuredomain.Domain][]uint64)
	for _, p := range ps {
		hashes[p.Domain] = append(hashes[p.Domain], nodeHash(p.ID))
	}
	for _, hs := range hashes {
		slices.Sort(hs)
	}
	others := make(map[failuredomain.Domain]int)
	return slices.DeleteFunc(ps, func(p Peer) bool {
		hs := hashes[p.Domain]
		if nodeHash(p.ID) <= hs[min(canaryNodes, len(hs))-1] {
			return false
		}
		others[p.Domain]++
		return others[p.Domain] > maxNodesPerDomain-canaryNodes
	})
}

// peers returns the other entry VMs.
func (k *Collector) peers() []Peer {
	if k.c.Peers == nil {
		return nil
	}
	ps := slices.Clone(k.c.Peers())
	return slices.DeleteFunc(ps, func(p Peer) bool { return p.ID == k.c.Node })
}

// addAge adds the duration of a fetch to the evidence ages in the fetched report,
// which may have been created at the start of the fetch.
func addAge(r Report, elapsed time.Duration) Report {
	for i := range r.States {
		if r.States[i].AgeMS >= 0 {
			r.States[i].AgeMS += elapsed.Milliseconds()
		}
	}
	return r
}

// updateReachability stores which failure domains answered.
func (k *Collector) updateReachability(domains map[failuredomain.Domain]domainReports, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for d, g := range domains {
		if len(g.reports) > 0 || d == k.c.Domain {
			k.lastReached[d] = now
			delete(k.unreachableSince, d)
			continue
		}
		if _, ok := k.unreachableSince[d]; ok {
			continue
		}
		k.unreachableSince[d] = now
		if last, ok := k.lastReached[d]; ok {
			k.unreachableSince[d] = last
		}
	}
}

// mergeAll returns the state of each search in each failure domain, sorted by
// search and failure domain. The searches are those defined on this node or
// contained in a report.
func (k *Collector) mergeAll(domains map[failuredomain.Domain]domainReports, now time.Time) []State {
	names := k.searchNames()
	for _, g := range domains {
		for _, r := range g.reports {
			for _, s := range r.States {
				names = append(names, s.Search)
			}
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	ds := make([]failuredomain.Domain, 0, len(domains))
	for d := range domains {
		ds = append(ds, d)
	}
	slices.Sort(ds)
	var out []State
	for _, n := range names {
		for _, d := range ds {
			out = append(out, k.mergeOne(n, d, domains[d], now))
		}
	}
	return out
}

// mergeOne returns the state of one search in one failure domain.
func (k *Collector) mergeOne(name string, d failuredomain.Domain, g domainReports, now time.Time) State {
	var states []State
	for _, r := range g.reports {
		i := slices.IndexFunc(r.States, func(s State) bool { return s.Search == name })
		if i < 0 {
			states = append(states, State{Verdict: Unknown, AgeMS: -1, Since: now, Nodes: []string{r.Node}})
			continue
		}
		s := r.States[i]
		s.Nodes = []string{r.Node}
		states = append(states, s)
	}
	slices.Sort(g.unresponsive)
	s := Merge(states, g.unresponsive, k.c.MaxAge)
	s.Search, s.Domain = name, d
	if len(g.reports) == 0 {
		k.mu.Lock()
		s.Since = k.unreachableSince[d]
		k.mu.Unlock()
	}
	if s.Since.IsZero() {
		s.Since = now
	}
	return s
}
