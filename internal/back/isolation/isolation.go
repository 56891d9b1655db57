// Package isolation detects that this VM is cut off from the searchers of the
// other failure domains.
//
// It answers a partition of a failure domain whose VMs still get their clients'
// connections. The VMs inside can reach only the searchers of their own domain.
// Where these do not hold all shards, each lookup lacks parts or fails, while VMs
// of the other domains could answer it. A VM that detects this reports itself as
// not ready, so that the balancer sends its clients to the other domains.
//
// An outage of searchers must not look like a partition, because the VMs of the
// other domains would be no better off. So the evidence has to come from requests
// of the last seconds to several searchers in at least two other domains, and a
// single contact since then disproves it. Searchers that are silent for longer are
// no evidence: a VM with few requests may have asked nobody else since. Two
// domains that lose each other can't tell which of them is cut off, so with fewer
// than three domains the VM stays ready.
//
// # Usage
//
//	d := isolation.New(isolation.Config{Domain: "sapporo"})
//	if d.Update(now, searchers) { notReady() }
package isolation

import "time"

const (
	// minSilence is the time without a reaction after which a searcher is silent.
	// It exceeds the pauses of searchers, which take up to a quarter of a second.
	minSilence = 500 * time.Millisecond
	// maxSilence is the age up to which an unanswered request is evidence.
	maxSilence = 3 * time.Second
	// minSilentSearchers is the number of silent searchers in other domains, and
	// minSilentDomains the number of these domains, that are required.
	minSilentSearchers = 3
	minSilentDomains   = 2
	// minUpdates is the number of consecutive updates that have to agree. After a
	// pause of this process, answers that have already arrived may be handled
	// after the first update.
	minUpdates = 2
)

// Searcher describes the contact with one searcher.
type Searcher struct {
	// Service is the service that the searcher belongs to; each shard of a fan-out
	// is a service.
	Service string
	// Domain is its failure domain.
	Domain string
	// LastContact is when the searcher last answered or accepted a connection;
	// zero if it never did.
	LastContact time.Time
	// AskedAt is the time of the first request since LastContact; zero if there
	// was none.
	AskedAt time.Time
	// RunningSince is the end of the last pause of this process; zero if there was none. What
	// has arrived before may not have been read yet.
	RunningSince time.Time
}

// Silent reports whether the searcher has not reacted for minSilence.
func (s Searcher) Silent(now time.Time) bool {
	return !s.AskedAt.IsZero() && min(now.Sub(s.AskedAt), now.Sub(s.RunningSince)) >= minSilence
}

// Config configures a Detector.
type Config struct {
	// Domain is this VM's failure domain.
	Domain string
}

// Detector detects isolation. It must not be used concurrently.
type Detector struct {
	c Config
	// since is when the isolation was detected; zero if there is none.
	since time.Time
	// updates is the number of consecutive updates with evidence of isolation.
	updates int
}

// New returns a detector for a VM that is not isolated.
func New(c Config) *Detector { return &Detector{c: c} }

// Update returns whether the VM is isolated and can't reach all shards. Once
// isolated, it stays so until a searcher in another domain reacts or no shard
// depends on one.
func (d *Detector) Update(now time.Time, ss []Searcher) bool {
	if !d.lacksShard(now, ss) {
		d.since, d.updates = time.Time{}, 0
		return false
	}
	if !d.since.IsZero() {
		if d.lastRemoteContact(ss).After(d.since) {
			d.since, d.updates = time.Time{}, 0
		}
		return !d.since.IsZero()
	}
	if !d.remoteSilent(now, ss) {
		d.updates = 0
		return false
	}
	if d.updates++; d.updates >= minUpdates {
		d.since = now
	}
	return !d.since.IsZero()
}

// lacksShard reports whether a shard has no searcher in this domain that reacts.
func (d *Detector) lacksShard(now time.Time, ss []Searcher) bool {
	held := map[string]bool{}
	for _, s := range ss {
		held[s.Service] = held[s.Service] || s.Domain == d.c.Domain && !s.Silent(now)
	}
	for _, ok := range held {
		if !ok {
			return true
		}
	}
	return false
}

// lastRemoteContact returns the time of the last contact with another domain.
func (d *Detector) lastRemoteContact(ss []Searcher) time.Time {
	var t time.Time
	for _, s := range ss {
		if s.Domain != d.c.Domain && s.LastContact.After(t) {
			t = s.LastContact
		}
	}
	return t
}

// remoteSilent reports whether enough searchers of other domains do not answer
// recent requests that were sent after the last contact with one of them.
func (d *Detector) remoteSilent(now time.Time, ss []Searcher) bool {
	silent, domains, lastContact := 0, map[string]bool{}, d.lastRemoteContact(ss)
	for _, s := range ss {
		if s.Domain != d.c.Domain && s.Silent(now) && s.AskedAt.After(lastContact) && now.Sub(s.AskedAt) <= maxSilence {
			silent++
			domains[s.Domain] = true
		}
	}
	return silent >= minSilentSearchers && len(domains) >= minSilentDomains
}
