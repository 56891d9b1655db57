package directory

import (
	"fmt"
	"slices"

	"egrethaven/internal/back/contract"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/world/vm"
)

// contract works the contracts out again when the entry VMs or the searchers
// changed.
func (d *Directory) contract(vms []vm.VM) {
	if d.c.Node == "" {
		return
	}
	in := contract.Input{Self: d.c.Node}
	for _, v := range vms {
		if v.Role == vm.Entry && v.State == vm.Live || v.ID == d.c.Node {
			in.Nodes = append(in.Nodes, contract.Node{ID: v.ID, Domain: v.Domain})
		}
	}
	if d.contracted == len(d.entries) && slices.Equal(in.Nodes, d.nodes) {
		return
	}
	d.nodes, d.contracted = in.Nodes, len(d.entries)
	for id, e := range d.entries {
		if e.known {
			in.Searchers = append(in.Searchers, contract.Searcher{ID: id, Domain: e.b.Domain(),
				MaxConnections: e.status.MaxConnections, Ranges: ranges(e)})
		}
	}
	p := contract.Compute(in)
	was := d.plan.Swap(&p)
	for _, c := range p.Contracts {
		d.entries[c.Searcher].b.SetMaxLinks(c.Links)
	}
	if was.Groups != p.Groups || was.Group != p.Group || len(was.Contracts) != len(p.Contracts) {
		d.c.Events.Emit(event.ContractChanged, d.c.Node,
			fmt.Sprintf("group %d of %d, %d searchers", p.Group, p.Groups, len(p.Contracts)))
	}
}

// ranges returns the shards of a searcher in its newest version.
func ranges(e *entry) []keyrange.Range {
	var rs []keyrange.Range
	newest := uint64(0)
	for _, h := range e.status.Holdings {
		if h.Version >= newest {
			newest, rs = h.Version, h.Ranges
		}
	}
	return rs
}
