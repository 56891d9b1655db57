package health

import (
	"context"
	"slices"
	"sync"
	"time"

	"egrethaven/internal/world/zone"
)

// gathered is what the nodes of one failure domain reported.
type gathered struct {
	reports []Report
	silent  []string
}

// Fleet judges each search in each failure domain, by this node's evidence
// and by the reports that other nodes give now. Of each failure domain a few
// nodes are asked, drawn anew each time.
func (k *Collector) Fleet(ctx context.Context) Report {
	r := k.Local()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	domains := k.gather(ctx)
	now := time.Now()
	k.note(domains, now)
	home := domains[k.c.Domain]
	home.reports = append(home.reports, r)
	domains[k.c.Domain] = home
	r.States = k.merge(domains, now)
	r.At = now
	return r
}

// gather asks the chosen peers, all at once.
func (k *Collector) gather(ctx context.Context) map[zone.Domain]gathered {
	domains := make(map[zone.Domain]gathered)
	if k.c.Domains != nil {
		for _, d := range k.c.Domains() {
			domains[d] = gathered{}
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range k.choose() {
		wg.Go(func() {
			begin := time.Now()
			rep, err := k.fetch(ctx, p)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			g := domains[p.Domain]
			if err != nil || rep.Node != p.ID {
				g.silent = append(g.silent, p.ID)
			} else {
				g.reports = append(g.reports, aged(rep, took))
			}
			domains[p.Domain] = g
		})
	}
	wg.Wait()
	return domains
}

// fetch asks one peer, or fails when there is no way to.
func (k *Collector) fetch(ctx context.Context, p Peer) (Report, error) {
	if k.c.Fetch == nil {
		return Report{}, context.Canceled
	}
	return k.c.Fetch(ctx, p)
}

// choose takes of each failure domain the nodes on duty, and draws others up
// to perDomain.
func (k *Collector) choose() []Peer {
	ps := k.peers()
	k.mu.Lock()
	k.c.Rand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	k.mu.Unlock()
	first := make(map[zone.Domain][]uint64)
	for _, p := range ps {
		first[p.Domain] = append(first[p.Domain], order(p.ID))
	}
	for _, os := range first {
		slices.Sort(os)
	}
	drawn := make(map[zone.Domain]int)
	return slices.DeleteFunc(ps, func(p Peer) bool {
		os := first[p.Domain]
		if order(p.ID) <= os[min(onDuty, len(os))-1] {
			return false
		}
		drawn[p.Domain]++
		return drawn[p.Domain] > perDomain-onDuty
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

// aged makes evidence of a report older by the time that the report took to
// come, since it may have been made at the beginning of that time.
func aged(r Report, took time.Duration) Report {
	for i := range r.States {
		if r.States[i].AgeMS >= 0 {
			r.States[i].AgeMS += took.Milliseconds()
		}
	}
	return r
}

// note records which failure domains answered.
func (k *Collector) note(domains map[zone.Domain]gathered, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for d, g := range domains {
		if len(g.reports) > 0 || d == k.c.Domain {
			k.reached[d] = now
			delete(k.cut, d)
			continue
		}
		if _, ok := k.cut[d]; ok {
			continue
		}
		k.cut[d] = now
		if last, ok := k.reached[d]; ok {
			k.cut[d] = last
		}
	}
}

// merge judges each search that this node or a reporting one knows, in each
// failure domain.
func (k *Collector) merge(domains map[zone.Domain]gathered, now time.Time) []State {
	names := k.names()
	for _, g := range domains {
		for _, r := range g.reports {
			for _, s := range r.States {
				names = append(names, s.Search)
			}
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	order := make([]zone.Domain, 0, len(domains))
	for d := range domains {
		order = append(order, d)
	}
	slices.Sort(order)
	var out []State
	for _, n := range names {
		for _, d := range order {
			out = append(out, k.mergeOne(n, d, domains[d], now))
		}
	}
	return out
}

// mergeOne judges one search in one failure domain.
func (k *Collector) mergeOne(name string, d zone.Domain, g gathered, now time.Time) State {
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
	slices.Sort(g.silent)
	s := Merge(states, g.silent, k.c.MaxAge)
	s.Search, s.Domain = name, d
	if len(g.reports) == 0 {
		k.mu.Lock()
		s.Since = k.cut[d]
		k.mu.Unlock()
	}
	if s.Since.IsZero() {
		s.Since = now
	}
	return s
}
