package control

import (
	"gonum.org/v1/gonum/stat"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
)

// linearFit extrapolates the cost of a node from several fleet sizes.
type linearFit struct {
	nodes, cpuPercent, bytesPerSecond, memoryMB []float64
}

func (f *linearFit) add(c cost) {
	u := c.designLoad()
	f.nodes = append(f.nodes, float64(c.nodes))
	f.cpuPercent = append(f.cpuPercent, u.cpuPercent)
	f.bytesPerSecond = append(f.bytesPerSecond, u.bytesPerSecond)
	f.memoryMB = append(f.memoryMB, c.memoryMB)
}

// extrapolate returns the slope of ys per node, and the value at designNodes: that
// of the largest fleet plus the increase by the slope. A negative slope comes from
// the shrinking share of the few watchers and isn't extrapolated.
func (f *linearFit) extrapolate(ys []float64) (slope, value float64) {
	_, beta := stat.LinearRegression(f.nodes, ys, nil, false)
	last := len(ys) - 1
	return beta, ys[last] + max(0, beta)*(designNodes-f.nodes[last])
}

func (f *linearFit) arm() scenario.Arm {
	cpuSlope, cpu := f.extrapolate(f.cpuPercent)
	bytesSlope, bytes := f.extrapolate(f.bytesPerSecond)
	memorySlope, memory := f.extrapolate(f.memoryMB)
	return scenario.Arm{Name: "fitted_to_1000_nodes", Figures: []scenario.Figure{
		figure.Of("control_cpu_percent_slope_per_node", cpuSlope),
		figure.AtMost("control_cpu_percent", cpu, targetCPUPercent),
		figure.Of("control_bytes_per_second_slope_per_node", bytesSlope),
		figure.AtMost("control_bytes_per_second", bytes, targetBytesPerSecond),
		figure.Of("memory_mb_slope_per_node", memorySlope),
		figure.AtMost("memory_mb", memory, targetMemoryMB),
	}}
}
