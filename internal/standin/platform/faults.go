package platform

import (
	"time"

	"egrethaven/internal/infra/vm"
)

// Faults are what goes wrong with the service.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// JitterMS is the largest random addition to the delay, in milliseconds.
	JitterMS int64 `json:"jitter_ms"`
	// LoseAnswers is the fraction of calls whose connection is closed after
	// they took effect.
	LoseAnswers float64 `json:"lose_answers"`
	// ListLagMS is how far the list of VMs lags, in milliseconds.
	ListLagMS int64 `json:"list_lag_ms"`
	// WritesPerSecond is the ceiling of writes; 0 is none.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond is the ceiling of reads and watches; 0 is none.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Control is the message of POST /control. Fields that are left out keep
// their values.
type Control struct {
	Faults
	// LapseLeases ends every lease at once.
	LapseLeases bool `json:"lapse_leases"`
	// VMs replaces the list, when given.
	VMs []vm.VM `json:"vms"`
}

// SetFaults replaces the faults. Waiting watches end when it goes down.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// delay draws how long the next call waits.
func (p *Platform) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := time.Duration(p.faults.DelayMS) * time.Millisecond
	if p.faults.JitterMS > 0 {
		d += time.Duration(p.random.Int64N(p.faults.JitterMS * int64(time.Millisecond)))
	}
	return d
}

// lose draws whether the answer to a call that took effect is lost.
func (p *Platform) lose() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 || p.random.Float64() >= p.faults.LoseAnswers {
		return false
	}
	p.meter.total.Lost++
	return true
}

// visible is the list of VMs as it was one lag ago.
func (p *Platform) visible() []vm.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Now().Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	vms := []vm.VM{}
	for i, d := range p.lists {
		// The first list counts at once: a lag delays changes only.
		if i == 0 || !d.at.After(limit) {
			vms = d.vms
		}
	}
	return vms
}
