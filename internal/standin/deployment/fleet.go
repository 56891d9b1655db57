package deployment

import (
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/record"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

// Fleet is the services of one customer.
type Fleet []*Deployment

// The services of Takasago and Moisi.
const (
	ClaimsDesk           = "claims_desk"
	OldLedger            = "old_ledger"
	ContractorPortal     = "contractor_portal"
	DistributorReporting = "distributor_reporting"
	AssessorLookup       = "assessor_lookup"
	Billing              = "billing"
	FieldApp             = "field_app"
	ReturnLogging        = "return_logging"
)

// The failure domains of Takasago and Moisi.
var (
	TakasagoDomains = []failuredomain.Domain{"sapporo", "asahikawa", "hakodate"}
	MoisiDomains    = []failuredomain.Domain{"pamplemousses", "grand-baie", "triolet"}
)

// The sizes of the sample fleets.
const (
	sampleShards     = 6
	sampleReplicas   = 2
	sampleShardsEach = 3
	samplePublish    = time.Second
	sampleLoadLag    = 200 * time.Millisecond
	sampleStatusLag  = 200 * time.Millisecond
)

// class is the searchers of a group of services.
type class struct {
	slots       int
	connections int
	cost        time.Duration
	median      time.Duration
}

// The classes of the brief's sizes.
var (
	small      = class{slots: 2, connections: 25, cost: 6 * time.Millisecond, median: 4 * time.Millisecond}
	largeMoisi = class{slots: 4, connections: 50, cost: time.Millisecond, median: 3 * time.Millisecond}
	largeTaka  = class{slots: 4, connections: 100, cost: time.Millisecond, median: 3 * time.Millisecond}
)

// Takasago starts a small fleet with the sample records: the claims desk
// (warranty registrations in two schema versions, which can be registered),
// the old ledger beside it, the contractor portal (jobs, which can be
// registered) and distributor reporting (jobs).
func Takasago(seed uint64) (Fleet, error) {
	return start(
		sample(ClaimsDesk, TakasagoDomains, dataset.Warranty(), small, true, seed),
		sample(OldLedger, TakasagoDomains, dataset.Warranty(), small, false, seed+1),
		sample(ContractorPortal, TakasagoDomains, dataset.Jobs(), largeTaka, true, seed+2),
		sample(DistributorReporting, TakasagoDomains, dataset.Jobs(), largeTaka, false, seed+3),
	)
}

// Moisi starts a small fleet with the sample records: the assessor lookup
// (reading histories), billing (meters), the field app (loans) and return
// logging (returns, which can be registered).
func Moisi(seed uint64) (Fleet, error) {
	return start(
		sample(AssessorLookup, MoisiDomains, dataset.Readings(), small, false, seed),
		sample(Billing, MoisiDomains, dataset.Meters(), small, false, seed+1),
		sample(FieldApp, MoisiDomains, dataset.Loans(), largeMoisi, false, seed+2),
		sample(ReturnLogging, MoisiDomains, dataset.Returns(), largeMoisi, true, seed+3),
	)
}

// sample describes a service of a small fleet.
func sample(service string, domains []failuredomain.Domain, rs []record.Record, c class, writes bool, seed uint64) Config {
	return Config{
		Service: service, Domains: domains, Records: rs, Seed: seed,
		Shards: sampleShards, Replicas: sampleReplicas, ShardsEach: sampleShardsEach,
		PublishEvery: samplePublish,
		Searcher: searcher.Config{
			Slots: c.slots, MaxConnections: c.connections, ConnectCost: c.cost, Writes: writes,
			Time:    searcher.Time{Median: c.median, Sigma: 0.3},
			LoadLag: sampleLoadLag, StatusLag: sampleStatusLag,
		},
	}
}

func start(cs ...Config) (Fleet, error) {
	var f Fleet
	for _, c := range cs {
		d, err := New(c)
		if err != nil {
			f.Close()
			return nil, errors.Trace(err)
		}
		f = append(f, d)
	}
	return f, nil
}

// VMs returns the searchers of all services as the platform lists them.
func (f Fleet) VMs() []vm.VM {
	var vs []vm.VM
	for _, d := range f {
		vs = append(vs, d.VMs()...)
	}
	return vs
}

// Service returns the deployment of a service, or nil.
func (f Fleet) Service(name string) *Deployment {
	for _, d := range f {
		if d.Service() == name {
			return d
		}
	}
	return nil
}

// Searcher returns the searcher with an id, or nil.
func (f Fleet) Searcher(id string) *searcher.Searcher {
	for _, d := range f {
		if s := d.Searcher(id); s != nil {
			return s
		}
	}
	return nil
}

// Close stops all searchers and waits for them.
func (f Fleet) Close() {
	for _, d := range f {
		d.Close()
	}
}
