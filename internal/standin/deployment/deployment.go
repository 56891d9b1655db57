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

// Config holds the settings of a service and its searchers.
type Config struct {
	Service string
	// Domains are the failure domains; empty means one domain named "local".
	Domains []failuredomain.Domain
	Shards  int
	// Replicas is the number of replicas of each shard per failure domain.
	Replicas int
	// ShardsPerSearcher is the number of shards that a searcher holds; 0 means 1.
	ShardsPerSearcher int
	Records           []record.Record
	// Searcher is the configuration of every searcher, except ID, Service,
	// Domain, Truth and Seed, which New sets.
	Searcher searcher.Config
	// PublishInterval is the time between new index versions with the records
	// registered meanwhile; 0 disables publishing.
	PublishInterval time.Duration
	Seed            uint64
}

// Deployment manages the running searchers of one service.
type Deployment struct {
	c           Config
	Truth       *dataset.GroundTruth
	Searchers   []*searcher.Searcher
	replicaSets [][]*searcher.Searcher // each set holds every shard once

	mu sync.Mutex // serializes Publish calls
	// rotation shifts shards between the searchers of a replica set.
	rotation int
	// oldest is the oldest version that searchers hold.
	oldest uint64
	done   chan struct{}
	wg     sync.WaitGroup
}

// New starts the searchers and assigns them the shards of version 1.
func New(c Config) (*Deployment, error) {
	if len(c.Domains) == 0 {
		c.Domains = []failuredomain.Domain{"local"}
	}
	c.ShardsPerSearcher = max(c.ShardsPerSearcher, 1)
	ranges := keyrange.Split(c.Shards)
	d := &Deployment{
		c:     c,
		Truth: dataset.New(dataset.Config{Records: c.Records, Ranges: ranges}),
		done:  make(chan struct{}), oldest: 1,
	}
	for _, domain := range c.Domains {
		for range c.Replicas {
			if err := d.addReplicaSet(domain); err != nil {
				d.Close()
				return nil, errors.Trace(err)
			}
		}
	}
	d.assign(1, ranges, 0)
	if c.PublishInterval > 0 {
		d.wg.Go(d.publishWrites)
	}
	return d, nil
}

// addReplicaSet starts the searchers of one replica set in a failure domain.
func (d *Deployment) addReplicaSet(domain failuredomain.Domain) error {
	n := (d.c.Shards + d.c.ShardsPerSearcher - 1) / d.c.ShardsPerSearcher
	var set []*searcher.Searcher
	for range n {
		c := d.c.Searcher
		c.ID = fmt.Sprintf("%s-%s-%d", d.c.Service, domain, len(d.Searchers))
		c.Service, c.Domain, c.Truth = d.c.Service, domain, d.Truth
		c.Seed = d.c.Seed*100_003 + uint64(len(d.Searchers))
		s, err := searcher.New(c)
		if err != nil {
			return errors.Annotatef(err, "searcher %s", c.ID)
		}
		set = append(set, s)
		d.Searchers = append(d.Searchers, s)
	}
	d.replicaSets = append(d.replicaSets, set)
	return nil
}

// Service returns the name of the service.
func (d *Deployment) Service() string { return d.c.Service }

// VMs returns the searchers' entries in the platform's VM list.
func (d *Deployment) VMs() []vm.VM {
	var vs []vm.VM
	for _, s := range d.Searchers {
		vs = append(vs, s.VM())
	}
	return vs
}

// ReplicaSet returns the i-th set of searchers that together hold every shard
// once.
func (d *Deployment) ReplicaSet(i int) []*searcher.Searcher { return d.replicaSets[i] }

// Searcher returns the searcher with the given id, or nil.
func (d *Deployment) Searcher(id string) *searcher.Searcher {
	i := slices.IndexFunc(d.Searchers, func(s *searcher.Searcher) bool { return s.ID() == id })
	if i < 0 {
		return nil
	}
	return d.Searchers[i]
}

// Change describes a new version of the index.
type Change struct {
	// Ranges are the shards of the version; nil keeps the current ones.
	Ranges []keyrange.Range
	// BumpRevisions gives every record a higher revision.
	BumpRevisions bool
	// MoveShards assigns the shards to other searchers.
	MoveShards bool
	// StepDelay is the time between the updates of two searchers.
	StepDelay time.Duration
	// KeepVersions is the number of versions that searchers hold, including the
	// new one; 0 means 2.
	KeepVersions int
}

// Publish creates a version, assigns it to the searchers one after another,
// and then drops versions beyond c.KeepVersions. It returns the number of the
// new version.
func (d *Deployment) Publish(c Change) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.Truth.Publish(c.Ranges, c.BumpRevisions)
	if c.MoveShards {
		d.rotation++
	}
	d.assign(v, d.Truth.Ranges(v), c.StepDelay)
	if c.KeepVersions == 0 {
		c.KeepVersions = 2
	}
	for old := d.oldest; int(old) <= int(v)-c.KeepVersions; old++ {
		d.assign(old, nil, 0)
		d.oldest = old + 1
	}
	return v
}

// assign distributes the shards of a version over the searchers of each
// replica set. Without ranges the searchers drop the version.
func (d *Deployment) assign(version uint64, ranges []keyrange.Range, stepDelay time.Duration) {
	for _, set := range d.replicaSets {
		perSearcher := max(1, (len(ranges)+len(set)-1)/len(set))
		for i, s := range set {
			j := (i + d.rotation) % len(set)
			first, last := min(j*perSearcher, len(ranges)), min((j+1)*perSearcher, len(ranges))
			s.SetHolding(back.Holding{Version: version, Ranges: slices.Clone(ranges[first:last])})
			if stepDelay > 0 && !d.sleep(stepDelay) {
				return
			}
		}
	}
}

// publishWrites publishes a new version every PublishInterval if records were
// registered since the last one.
func (d *Deployment) publishWrites() {
	for d.sleep(d.c.PublishInterval) {
		if d.Truth.Pending() > 0 {
			d.Publish(Change{})
		}
	}
}

// sleep waits for t. It returns false if the deployment is closed meanwhile.
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
