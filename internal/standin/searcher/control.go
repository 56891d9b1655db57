package searcher

import (
	"time"
)

// Control sets faults. Fields that are nil stay as they are.
type Control struct {
	// Drain starts or ends draining: answers say so at once, and after
	// GraceMS new requests are refused.
	Drain   *bool `json:"drain,omitempty"`
	GraceMS int64 `json:"grace_ms,omitempty"`
	// SlowdownFactor multiplies the service time.
	SlowdownFactor *float64 `json:"slow,omitempty"`
	// StragglerFraction replaces the share of stragglers.
	StragglerFraction *float64 `json:"straggle_share,omitempty"`
	// Freeze stops all work, as a stopped process does, until it is unset.
	Freeze *bool `json:"freeze,omitempty"`
	// Shed refuses all requests.
	Shed *bool `json:"shed,omitempty"`
	// LoadFactor multiplies the reported load.
	LoadFactor *float64 `json:"mislead,omitempty"`
	// Silence makes the connections now open take everything and answer
	// nothing; new ones work.
	Silence bool `json:"silence,omitempty"`
	// Crash resets all connections and stops listening.
	Crash bool `json:"crash,omitempty"`
	// DownMS is how long a crash lasts; 0 is until Start.
	DownMS int64 `json:"down_ms,omitempty"`
}

// Control applies c.
func (s *Searcher) Control(c Control) {
	s.mu.Lock()
	if c.Drain != nil {
		s.setDrain(*c.Drain, time.Duration(c.GraceMS)*time.Millisecond)
	}
	if c.SlowdownFactor != nil {
		s.slow = *c.SlowdownFactor
	}
	if c.StragglerFraction != nil {
		s.c.ServiceTime.StragglerFraction = *c.StragglerFraction
	}
	if c.Shed != nil {
		s.shed = *c.Shed
	}
	if c.LoadFactor != nil {
		s.mislead = *c.LoadFactor
	}
	if c.Freeze != nil {
		s.setFreeze(*c.Freeze)
	}
	s.mu.Unlock()
	if c.Silence {
		s.silence()
	}
	if c.Crash {
		s.Crash(time.Duration(c.DownMS) * time.Millisecond)
	}
}

// Drain starts draining; new requests are refused after grace.
func (s *Searcher) Drain(grace time.Duration) {
	on := true
	s.Control(Control{Drain: &on, GraceMS: grace.Milliseconds()})
}

// EndDrain ends draining, with a cold start.
func (s *Searcher) EndDrain() {
	off := false
	s.Control(Control{Drain: &off})
}

// SetSlowdown multiplies the service time by factor.
func (s *Searcher) SetSlowdown(factor float64) { s.Control(Control{SlowdownFactor: &factor}) }

// SetFrozen stops all work while on is set.
func (s *Searcher) SetFrozen(on bool) { s.Control(Control{Freeze: &on}) }

// SetShedding refuses all requests while on is set.
func (s *Searcher) SetShedding(on bool) { s.Control(Control{Shed: &on}) }

// Silence makes the connections now open silent for good.
func (s *Searcher) Silence() { s.Control(Control{Silence: true}) }

func (s *Searcher) setDrain(on bool, grace time.Duration) {
	s.draining = on
	now := time.Now()
	s.drainSince, s.refuseFrom = now, now.Add(grace)
	if !on {
		s.started = now
	}
}

func (s *Searcher) setFreeze(on bool) {
	switch {
	case on && s.thaw == nil:
		s.thaw = make(chan struct{})
	case !on && s.thaw != nil:
		close(s.thaw)
		s.thaw = nil
	}
}
