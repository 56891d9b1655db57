package platform

import (
	"time"

	"egrethaven/internal/infra/vm"
)

// Faults are the faults injected into the service.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// DelayMS is the delay added to every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// JitterMS is the maximum random addition to the delay, in milliseconds.
	JitterMS int64 `json:"jitter_ms"`
	// AnswerLossRate is the fraction of calls whose connection is closed
	// without an answer after the call took effect.
	AnswerLossRate float64 `json:"lose_answers"`
	// ListLagMS delays changes of the VM list, in milliseconds.
	ListLagMS int64 `json:"list_lag_ms"`
	// WritesPerSecond is the rate limit of writes; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond is the rate limit of reads and watches; 0 means no
	// limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

// Control is the body of POST /control. Omitted fields leave their setting
// unchanged.
type Control struct {
	Faults
	// ExpireLeases expires every lease at once.
	ExpireLeases bool `json:"lapse_leases"`
	// VMs replaces the VM list; nil keeps it.
	VMs []vm.VM `json:"vms"`
}

// SetFaults replaces the faults and, if f.Down is set, ends waiting watches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// delay returns the delay of the next call, with random jitter.
func (p *Platform) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := time.Duration(p.faults.DelayMS) * time.Millisecond
	if p.faults.JitterMS > 0 {
		d += time.Duration(p.random.Int64N(p.faults.JitterMS * int64(time.Millisecond)))
	}
	return d
}

// loseAnswer decides at random whether an answer is dropped, and counts it if
// so.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.AnswerLossRate == 0 || p.random.Float64() >= p.faults.AnswerLossRate {
		return false
	}
	p.calls.total.LostAnswers++
	return true
}

// visibleVMs returns the VM list as it was ListLagMS ago.
func (p *Platform) visibleVMs() []vm.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	vms := []vm.VM{}
	for i, l := range p.vmLists {
		// The first list is visible at once: the lag applies to changes only.
		if i == 0 || !l.setAt.After(cutoff) {
			vms = l.vms
		}
	}
	return vms
}
