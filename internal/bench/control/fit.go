package control

import (
	"gonum.org/v1/gonum/stat"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
)

// fit draws lines through what was measured at several sizes.
type fit struct {
	nodes, cpu, bytes, memory []float64
}

func (f *fit) add(c cost) {
	d := c.daily()
	f.nodes = append(f.nodes, float64(c.nodes))
	f.cpu = append(f.cpu, d.cpu)
	f.bytes = append(f.bytes, d.bytes)
	f.memory = append(f.memory, c.memory)
}

// at returns the slope of a node's use by fleet size, and the use at the size
// to design for: that of the largest fleet, plus what the slope adds. A slope
// below zero is that of the few watchers' share, which is not carried on.
func (f *fit) at(ys []float64) (slope, value float64) {
	_, b := stat.LinearRegression(f.nodes, ys, nil, false)
	last := len(ys) - 1
	return b, ys[last] + max(0, b)*(design-f.nodes[last])
}

func (f *fit) arm() scenario.Arm {
	cs, c := f.at(f.cpu)
	bs, b := f.at(f.bytes)
	ms, m := f.at(f.memory)
	return scenario.Arm{Name: "fitted_to_1000_nodes", Figures: []scenario.Figure{
		figure.Of("control_cpu_percent_slope_per_node", cs),
		figure.AtMost("control_cpu_percent", c, targetCPU),
		figure.Of("control_bytes_per_second_slope_per_node", bs),
		figure.AtMost("control_bytes_per_second", b, targetBytes),
		figure.Of("memory_mb_slope_per_node", ms),
		figure.AtMost("memory_mb", m, targetMemory),
	}}
}
