package searcher

import (
	"time"
)

// Control changes the injected faults. A nil field leaves its fault
// unchanged.
type Control struct {
	// Drain starts or ends draining. Answers report draining at once; new
	// requests are refused after GraceMS milliseconds.
	Drain   *bool `json:"drain,omitempty"`
	GraceMS int64 `json:"grace_ms,omitempty"`
	// SlowdownFactor multiplies the service time.
	SlowdownFactor *float64 `json:"slow,omitempty"`
	// StragglerFraction replaces ServiceTime.StragglerFraction.
	StragglerFraction *float64 `json:"straggle_share,omitempty"`
	// Freeze suspends all requests, as SIGSTOP would, until unset.
	Freeze *bool `json:"freeze,omitempty"`
	// Shed refuses every request with reason Shed.
	Shed *bool `json:"shed,omitempty"`
	// LoadFactor multiplies the reported load.
	LoadFactor *float64 `json:"mislead,omitempty"`
	// Silence makes open connections accept data and send none; new ones
	// work.
	Silence bool `json:"silence,omitempty"`
	// Crash resets all connections and stops listening.
	Crash bool `json:"crash,omitempty"`
	// DownMS is the downtime after a crash, in milliseconds; 0 means until
	// Restart.
	DownMS int64 `json:"down_ms,omitempty"`
}

// Control applies the changes in c.
func (s *Searcher) Control(c Control) {
	s.mu.Lock()
	if c.Drain != nil {
		s.setDrainLocked(*c.Drain, time.Duration(c.GraceMS)*time.Millisecond)
	}
	if c.SlowdownFactor != nil {
		s.slowdown = *c.SlowdownFactor
	}
	if c.StragglerFraction != nil {
		s.c.ServiceTime.StragglerFraction = *c.StragglerFraction
	}
	if c.Shed != nil {
		s.shedding = *c.Shed
	}
	if c.LoadFactor != nil {
		s.loadFactor = *c.LoadFactor
	}
	if c.Freeze != nil {
		s.setFrozenLocked(*c.Freeze)
	}
	s.mu.Unlock()
	if c.Silence {
		s.silenceConns()
	}
	if c.Crash {
		s.Crash(time.Duration(c.DownMS) * time.Millisecond)
	}
}

// Drain starts draining and refuses new requests after grace.
func (s *Searcher) Drain(grace time.Duration) {
	on := true
	s.Control(Control{Drain: &on, GraceMS: grace.Milliseconds()})
}

// EndDrain ends draining and restarts the warm-up.
func (s *Searcher) EndDrain() {
	off := false
	s.Control(Control{Drain: &off})
}

// SetSlowdown multiplies the service time by factor.
func (s *Searcher) SetSlowdown(factor float64) { s.Control(Control{SlowdownFactor: &factor}) }

// SetFrozen suspends or resumes all requests.
func (s *Searcher) SetFrozen(on bool) { s.Control(Control{Freeze: &on}) }

// SetShedding starts or stops refusing all requests.
func (s *Searcher) SetShedding(on bool) { s.Control(Control{Shed: &on}) }

// SilenceConnections makes all open connections silent until they are closed.
func (s *Searcher) SilenceConnections() { s.Control(Control{Silence: true}) }

func (s *Searcher) setDrainLocked(on bool, grace time.Duration) {
	s.draining = on
	now := time.Now()
	s.drainSince, s.refuseFrom = now, now.Add(grace)
	if !on {
		s.warmUpStart = now
	}
}

func (s *Searcher) setFrozenLocked(on bool) {
	switch {
	case on && s.thawed == nil:
		s.thawed = make(chan struct{})
	case !on && s.thawed != nil:
		close(s.thawed)
		s.thawed = nil
	}
}
