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

// Fleet holds the services of one customer.
type Fleet []*Deployment

// Service names of Takasago and Moisi.
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

// Failure domains of Takasago and Moisi.
var (
	TakasagoDomains = []failuredomain.Domain{"sapporo", "asahikawa", "hakodate"}
	MoisiDomains    = []failuredomain.Domain{"pamplemousses", "grand-baie", "triolet"}
)

// Settings of the sample fleets.
const (
	sampleShards            = 6
	sampleReplicas          = 2
	sampleShardsPerSearcher = 3
	samplePublishInterval   = time.Second
	sampleLoadLag           = 200 * time.Millisecond
	sampleStatusLag         = 200 * time.Millisecond
)

// searcherClass holds the searcher settings that a group of services shares.
type searcherClass struct {
	slots          int
	maxConnections int
	connectDelay   time.Duration
	medianTime     time.Duration
}

// Searcher classes with the sizes given in the requirements.
var (
	small         = searcherClass{slots: 2, maxConnections: 25, connectDelay: 6 * time.Millisecond, medianTime: 4 * time.Millisecond}
	largeMoisi    = searcherClass{slots: 4, maxConnections: 50, connectDelay: time.Millisecond, medianTime: 3 * time.Millisecond}
	largeTakasago = searcherClass{slots: 4, maxConnections: 100, connectDelay: time.Millisecond, medianTime: 3 * time.Millisecond}
)

// Takasago starts a small fleet with Takasago's sample records: the claims
// desk (warranty registrations in two schema versions, with writes), the old
// ledger (the same records, without writes), the contractor portal (jobs,
// with writes) and distributor reporting (jobs).
func Takasago(seed uint64) (Fleet, error) {
	return startFleet(
		sampleConfig(ClaimsDesk, TakasagoDomains, dataset.Warranty(), small, true, seed),
		sampleConfig(OldLedger, TakasagoDomains, dataset.Warranty(), small, false, seed+1),
		sampleConfig(ContractorPortal, TakasagoDomains, dataset.Jobs(), largeTakasago, true, seed+2),
		sampleConfig(DistributorReporting, TakasagoDomains, dataset.Jobs(), largeTakasago, false, seed+3),
	)
}

// Moisi starts a small fleet with Moisi's sample records: the assessor lookup
// (reading histories), billing (meters), the field app (loans) and return
// logging (returns, with writes).
func Moisi(seed uint64) (Fleet, error) {
	return startFleet(
		sampleConfig(AssessorLookup, MoisiDomains, dataset.Readings(), small, false, seed),
		sampleConfig(Billing, MoisiDomains, dataset.Meters(), small, false, seed+1),
		sampleConfig(FieldApp, MoisiDomains, dataset.Loans(), largeMoisi, false, seed+2),
		sampleConfig(ReturnLogging, MoisiDomains, dataset.Returns(), largeMoisi, true, seed+3),
	)
}

// sampleConfig returns the settings of one service of a sample fleet.
func sampleConfig(service string, domains []failuredomain.Domain, records []record.Record, c searcherClass, writes bool, seed uint64) Config {
	return Config{
		Service: service, Domains: domains, Records: records, Seed: seed,
		Shards: sampleShards, Replicas: sampleReplicas, ShardsPerSearcher: sampleShardsPerSearcher,
		PublishInterval: samplePublishInterval,
		Searcher: searcher.Config{
			Slots: c.slots, MaxConnections: c.maxConnections, ConnectDelay: c.connectDelay, Writes: writes,
			ServiceTime: searcher.ServiceTime{Median: c.medianTime, Sigma: 0.3},
			LoadLag:     sampleLoadLag, StatusLag: sampleStatusLag,
		},
	}
}

func startFleet(configs ...Config) (Fleet, error) {
	var f Fleet
	for _, c := range configs {
		d, err := New(c)
		if err != nil {
			f.Close()
			return nil, errors.Trace(err)
		}
		f = append(f, d)
	}
	return f, nil
}

// VMs returns the entries of all searchers in the platform's VM list.
func (f Fleet) VMs() []vm.VM {
	var vs []vm.VM
	for _, d := range f {
		vs = append(vs, d.VMs()...)
	}
	return vs
}

// Service returns the deployment of the named service, or nil.
func (f Fleet) Service(name string) *Deployment {
	for _, d := range f {
		if d.Service() == name {
			return d
		}
	}
	return nil
}

// Searcher returns the searcher with the given id, or nil.
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
