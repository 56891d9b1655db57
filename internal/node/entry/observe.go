package entry

import (
	"slices"

	"github.com/juju/errors"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/fleet"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/metric"
	"egrethaven/internal/state/search"
)

// newMetrics creates the metrics of the node.
func (n *Node) newMetrics() error {
	s := n.c.Settings.Node
	var err error
	n.metrics, err = metric.New(metric.Config{Node: s.ID, Domain: s.FailureDomain})
	return errors.Annotate(err, "creating metrics")
}

// buildHealth creates the health collector and the fleet client.
func (n *Node) buildHealth() {
	s := n.c.Settings
	n.health = health.New(health.Config{
		Node:           s.Node.ID,
		Domain:         s.Node.FailureDomain,
		Definitions:    func() map[string]search.Definition { return n.configs.Current().Searches },
		ConfigState:    n.configState,
		StoreDown:      func() bool { return n.store.OutageDuration() > 0 },
		MaxAge:         s.Health.EvidenceAge,
		CanaryInterval: s.Health.CanaryInterval,
		RunCanary:      n.engine.Ask,
		Peers:          n.peers,
		Domains:        n.domains,
		FetchReport:    n.fetchHealth,
		Events:         n.log,
	})
	n.fleet = fleet.New(fleet.Config{
		Node:     s.Node.ID,
		Domain:   s.Node.FailureDomain,
		Clock:    n.clock,
		Log:      n.log,
		Health:   n.health.LocalReport,
		Revision: func() uint64 { return n.configs.Current().Revision },
		Peers:    n.peers,
		Dial:     n.dialer.Conn,
	})
}

// configState returns the configuration revision in force and the time since its
// last confirmation in milliseconds, or -1 if it was never confirmed.
func (n *Node) configState() (uint64, int64) {
	r := n.configs.Current().Revision
	if age, ok := n.configSync.ConfirmedAge(); ok {
		return r, age.Milliseconds()
	}
	return r, -1
}

// peers returns the other live entry VMs.
func (n *Node) peers() []health.Peer {
	var ps []health.Peer
	for _, v := range n.membership.LiveAll() {
		if v.ID != n.self.ID {
			ps = append(ps, health.Peer{ID: v.ID, Domain: v.Domain, Addr: v.Addr})
		}
	}
	return ps
}

// domains returns the failure domains in the platform's VM list and this node's
// own, without duplicates.
func (n *Node) domains() []failuredomain.Domain {
	vms, _ := n.vms.List()
	ds := []failuredomain.Domain{n.self.Domain}
	for _, v := range vms {
		if !slices.Contains(ds, v.Domain) {
			ds = append(ds, v.Domain)
		}
	}
	return ds
}

// registerMetrics registers the gauges and the labeled metrics of the node.
func (n *Node) registerMetrics() error {
	for _, g := range []gauge{
		{"egrethaven_config_revision", "1", "revision of the configuration in force", n.configRevision},
		{"egrethaven_live_entry_vms", "1", "entry VMs that count as live, this one included", n.liveEntryVMs},
		{"egrethaven_requests_in_flight", "1", "caller requests in progress", n.requestsInFlight},
		{"egrethaven_vm_list_age", "s", "age of the platform's VM list", n.vmListAge},
		{"egrethaven_links", "1", "open connections to searchers", n.openLinks},
		{"egrethaven_kv_outage", "s", "how long the key-value service has not answered", n.kvOutage},
	} {
		if err := n.metrics.RegisterGauge(g.name, g.unit, g.help, g.read); err != nil {
			return errors.Annotatef(err, "registering metric %s", g.name)
		}
	}
	if err := n.registerQuotaMetrics(); err != nil {
		return errors.Trace(err)
	}
	return n.registerLabeledMetrics()
}

// gauge is a metric whose value is read at collection time.
type gauge struct {
	name, unit, help string
	read             func() float64
}

func (n *Node) configRevision() float64   { return float64(n.configs.Current().Revision) }
func (n *Node) liveEntryVMs() float64     { return float64(len(n.peers()) + 1) }
func (n *Node) requestsInFlight() float64 { return float64(n.gate.InFlight()) }
func (n *Node) kvOutage() float64         { return n.store.OutageDuration().Seconds() }

func (n *Node) vmListAge() float64 {
	_, age := n.vms.List()
	return age.Seconds()
}

func (n *Node) openLinks() float64 {
	open := 0
	for _, b := range n.directory.Backends() {
		open += b.LinkStats().Open
	}
	return float64(open)
}
