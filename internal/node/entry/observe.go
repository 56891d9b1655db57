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

// measure makes the metrics of the node.
func (n *Node) measure() error {
	s := n.c.Settings.Node
	var err error
	n.metrics, err = metric.New(metric.Config{Node: s.ID, Domain: s.FailureDomain})
	return errors.Annotate(err, "metrics")
}

// watchHealth builds the judge of health and the view of the other nodes.
func (n *Node) watchHealth() {
	s := n.c.Settings
	n.health = health.New(health.Config{
		Node:           s.Node.ID,
		Domain:         s.Node.FailureDomain,
		Definitions:    func() map[string]search.Definition { return n.searches.Current().Searches },
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
		Revision: func() uint64 { return n.searches.Current().Revision },
		Peers:    n.peers,
		Dial:     n.dialer.Conn,
	})
}

// configState returns the revision in force and the age of its last
// confirmation in milliseconds, -1 when there was none.
func (n *Node) configState() (uint64, int64) {
	r := n.searches.Current().Revision
	if age, ok := n.spread.ConfirmedAge(); ok {
		return r, age.Milliseconds()
	}
	return r, -1
}

// peers returns the other live entry VMs.
func (n *Node) peers() []health.Peer {
	var ps []health.Peer
	for _, v := range n.members.LiveAll() {
		if v.ID != n.self.ID {
			ps = append(ps, health.Peer{ID: v.ID, Domain: v.Domain, Addr: v.Addr})
		}
	}
	return ps
}

// domains returns every failure domain of the platform's list.
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

// watchMetrics adds the gauges that read other parts of the node.
func (n *Node) watchMetrics() error {
	for _, g := range []gauge{
		{"egrethaven_config_revision", "1", "revision of the configuration in force", n.revision},
		{"egrethaven_live_entry_vms", "1", "entry VMs that count as live, this one included", n.live},
		{"egrethaven_requests_in_flight", "1", "caller requests in progress", n.inFlight},
		{"egrethaven_vm_list_age", "s", "age of the platform's VM list", n.listAge},
		{"egrethaven_links", "1", "open connections to searchers", n.links},
		{"egrethaven_kv_outage", "s", "how long the key-value service has not answered", n.outage},
	} {
		if err := n.metrics.RegisterGauge(g.name, g.unit, g.help, g.read); err != nil {
			return errors.Annotatef(err, "metric %s", g.name)
		}
	}
	return n.watchCounts()
}

// gauge is a metric that is read when it is asked for.
type gauge struct {
	name, unit, help string
	read             func() float64
}

func (n *Node) revision() float64 { return float64(n.searches.Current().Revision) }
func (n *Node) live() float64     { return float64(len(n.peers()) + 1) }
func (n *Node) inFlight() float64 { return float64(n.gate.InFlight()) }
func (n *Node) outage() float64   { return n.store.OutageDuration().Seconds() }

func (n *Node) listAge() float64 {
	_, age := n.vms.List()
	return age.Seconds()
}

func (n *Node) links() float64 {
	open := 0
	for _, b := range n.directory.Backends() {
		open += b.LinkStats().Open
	}
	return float64(open)
}
