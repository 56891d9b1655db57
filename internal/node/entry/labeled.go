package entry

import (
	"github.com/juju/errors"
)

// registerLabeledMetrics registers the metrics with one value per label.
func (n *Node) registerLabeledMetrics() error {
	for _, c := range []labeledCounter{
		{"egrethaven_kv_calls", "1", "calls to the platform's key-value service", "kind", n.kvCalls},
		{"egrethaven_peer_traffic", "By", "bytes to and from other entry VMs", "direction", n.peerBytes},
		{"egrethaven_events", "1", "events by name, those left out included", "name", n.eventCounts},
	} {
		if err := n.metrics.RegisterLabeledCounter(c.name, c.unit, c.help, c.label, c.read); err != nil {
			return errors.Annotatef(err, "registering metric %s", c.name)
		}
	}
	return errors.Trace(n.metrics.RegisterLabeledGauge("egrethaven_search_ok", "1",
		"1 when the search is ok by this node's own evidence", "search", n.health.OKBySearch))
}

// labeledCounter is a counter with one value per label.
type labeledCounter struct {
	name, unit, help, label string
	read                    func() map[string]float64
}

func (n *Node) eventCounts() map[string]float64 {
	out := make(map[string]float64)
	for number, count := range n.log.Counts() {
		out[number.Name()] = float64(count)
	}
	return out
}

func (n *Node) peerBytes() map[string]float64 {
	server, dialer := n.peerServer.Counts(), n.dialer.Counts()
	return map[string]float64{"in": float64(server.BytesIn + dialer.BytesIn), "out": float64(server.BytesOut + dialer.BytesOut)}
}

func (n *Node) kvCalls() map[string]float64 {
	c := n.store.Counts()
	return map[string]float64{
		"read": float64(c.Reads), "write": float64(c.Writes), "watch": float64(c.Watches), "unknown": float64(c.Unknown),
		"down": float64(c.Down), "throttled": float64(c.Throttled), "over_budget": float64(c.OverBudget),
	}
}
