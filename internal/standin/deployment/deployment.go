package deployment

import (
	"fmt"
	"slices"
	"sync"
	"time"

	back "egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

// Config describes the searchers of a service.
type Config struct {
	Service string
	// Domains are the failure domains; none is one named "local".
	Domains []failuredomain.Domain
	Shards  int
	// Replicas of each shard in each failure domain.
	Replicas int
	// ShardsEach is how many shards a searcher holds; 0 is 1.
	ShardsEach int
	Records    []record.Record
	// Searcher is the template of each searcher; ID, Service, Domain, Truth
	// and Seed are set for each.
	Searcher searcher.Config
	// PublishEvery is how often registered records go into a new version of
	// the index; 0 is never.
	PublishEvery time.Duration
	Seed         uint64
}

// Deployment is the running searchers of one service.
type Deployment struct {
	c         Config
	Truth     *dataset.Truth
	Searchers []*searcher.Searcher
	rows      [][]*searcher.Searcher // each row holds every shard once

	mu    sync.Mutex // serializes versions
	shift int
	// oldest is the oldest version that is held.
	oldest uint64
	done   chan struct{}
	wg     sync.WaitGroup
}

// New starts the searchers and gives them version 1.
func New(c Config) (*Deployment, error) {
	if len(c.Domains) == 0 {
		c.Domains = []failuredomain.Domain{"local"}
	}
	c.ShardsEach = max(c.ShardsEach, 1)
	ranges := keyrange.Split(c.Shards)
	d := &Deployment{
		c:     c,
		Truth: dataset.New(dataset.Config{Records: c.Records, Ranges: ranges}),
		done:  make(chan struct{}), oldest: 1,
	}
	for _, z := range c.Domains {
		for range c.Replicas {
			if err := d.addRow(z); err != nil {
				d.Close()
				return nil, errors.Trace(err)
			}
		}
	}
	d.hold(1, ranges, 0)
	if c.PublishEvery > 0 {
		d.wg.Go(d.publishWrites)
	}
	return d, nil
}

// addRow starts the searchers that hold every shard once in a domain.
func (d *Deployment) addRow(z failuredomain.Domain) error {
	n := (d.c.Shards + d.c.ShardsEach - 1) / d.c.ShardsEach
	var row []*searcher.Searcher
	for range n {
		c := d.c.Searcher
		c.ID = fmt.Sprintf("%s-%s-%d", d.c.Service, z, len(d.Searchers))
		c.Service, c.Domain, c.Truth = d.c.Service, z, d.Truth
		c.Seed = d.c.Seed*100_003 + uint64(len(d.Searchers))
		s, err := searcher.New(c)
		if err != nil {
			return errors.Annotatef(err, "searcher %s", c.ID)
		}
		row = append(row, s)
		d.Searchers = append(d.Searchers, s)
	}
	d.rows = append(d.rows, row)
	return nil
}

// Service returns the name of the service.
func (d *Deployment) Service() string { return d.c.Service }

// VMs returns the searchers as the platform lists them.
func (d *Deployment) VMs() []vm.VM {
	var vs []vm.VM
	for _, s := range d.Searchers {
		vs = append(vs, s.VM())
	}
	return vs
}

// Row returns searchers that together hold every shard once.
func (d *Deployment) Row(i int) []*searcher.Searcher { return d.rows[i] }

// Searcher returns the searcher with an id, or nil.
func (d *Deployment) Searcher(id string) *searcher.Searcher {
	i := slices.IndexFunc(d.Searchers, func(s *searcher.Searcher) bool { return s.ID() == id })
	if i < 0 {
		return nil
	}
	return d.Searchers[i]
}

// Change is a new version of the index.
type Change struct {
	// Ranges are its shards; nil keeps them.
	Ranges []keyrange.Range
	// Touch gives every record a higher revision.
	Touch bool
	// Move puts the shards on other searchers.
	Move bool
	// Step is the wait between the searchers that receive the version.
	Step time.Duration
	// Keep is how many versions stay, the new one included; 0 keeps two.
	Keep int
}

// Publish makes a version, hands it to the searchers one after the other and
// then takes the oldest from them. It returns the version's number.
func (d *Deployment) Publish(c Change) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.Truth.Publish(c.Ranges, c.Touch)
	if c.Move {
		d.shift++
	}
	d.hold(v, d.Truth.Ranges(v), c.Step)
	if c.Keep == 0 {
		c.Keep = 2
	}
	for old := d.oldest; int(old) <= int(v)-c.Keep; old++ {
		d.hold(old, nil, 0)
		d.oldest = old + 1
	}
	return v
}

// hold deals the shards of a version to the searchers of each row.
func (d *Deployment) hold(version uint64, ranges []keyrange.Range, step time.Duration) {
	for _, row := range d.rows {
		each := max(1, (len(ranges)+len(row)-1)/len(row))
		for i, s := range row {
			j := (i + d.shift) % len(row)
			first, last := min(j*each, len(ranges)), min((j+1)*each, len(ranges))
			s.Hold(back.Holding{Version: version, Ranges: slices.Clone(ranges[first:last])})
			if step > 0 && !d.sleep(step) {
				return
			}
		}
	}
}

// publishWrites puts registered records into a new version, as they come.
func (d *Deployment) publishWrites() {
	for d.sleep(d.c.PublishEvery) {
		if d.Truth.Pending() > 0 {
			d.Publish(Change{})
		}
	}
}

// sleep waits; it is false once the deployment is closed.
func (d *Deployment) sleep(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-d.done:
		return false
	}
}

// Close stops the searchers and waits for them.
func (d *Deployment) Close() {
	close(d.done)
	d.wg.Wait()
	var wg sync.WaitGroup
	for _, s := range d.Searchers {
		wg.Go(s.Close)
	}
	wg.Wait()
}
