package fleet

import (
	"slices"
	"strings"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/peer/observerpc"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/world/zone"
)

// verdicts are those that a node may report.
var verdicts = []health.Verdict{health.OK, health.Degraded, health.Down, health.Unknown}

func stampTo(s event.Stamp) *observerpc.Stamp {
	return &observerpc.Stamp{WallMs: s.WallMS, Logical: s.Logical}
}

func stampOf(s *observerpc.Stamp) event.Stamp {
	return event.Stamp{WallMS: s.GetWallMs(), Logical: s.GetLogical()}
}

func eventTo(e event.Event) *observerpc.Event {
	return &observerpc.Event{Number: uint32(e.Number), Stamp: stampTo(e.Stamp), Subject: clip(e.Subject), Detail: clip(e.Detail)}
}

func eventOf(e *observerpc.Event, node string) event.Event {
	n := event.Number(e.Number)
	return event.Event{Number: n, Name: n.Name(), Stamp: stampOf(e.Stamp), Node: node, Subject: clip(e.Subject), Detail: clip(e.Detail)}
}

// clip bounds a text and keeps it valid UTF-8, as the codec requires.
func clip(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxText)], "?")
}

// replyOf writes a report with ages in the place of times.
func replyOf(r health.Report, now time.Time) *observerpc.HealthReply {
	out := &observerpc.HealthReply{Node: r.Node, FailureDomain: string(r.Domain), ConfigRevision: r.ConfigRevision, ConfigAgeMs: r.ConfigAgeMS}
	for _, s := range r.States[:min(len(r.States), maxStates)] {
		o := &observerpc.SearchState{Search: s.Search, Verdict: string(s.Verdict), EvidenceAgeMs: s.AgeMS,
			SinceAgeMs: now.Sub(s.Since).Milliseconds(), Reason: string(s.Reason), WritesRefused: s.WritesRefused}
		for _, g := range s.Missing[:min(len(s.Missing), maxGaps)] {
			o.Missing = append(o.Missing, &observerpc.Gap{First: g.Range.First, Last: g.Range.Last, Reason: string(g.Reason)})
		}
		out.States = append(out.States, o)
	}
	return out
}

// reportOf reads a report; a verdict that is not known counts as unknown.
func reportOf(r *observerpc.HealthReply, now time.Time) health.Report {
	out := health.Report{Node: r.Node, Domain: zone.Domain(r.FailureDomain), At: now, ConfigRevision: r.ConfigRevision, ConfigAgeMS: r.ConfigAgeMs}
	for _, s := range r.States[:min(len(r.States), maxStates)] {
		o := health.State{Search: clip(s.Search), Domain: out.Domain, Verdict: health.Verdict(s.Verdict), AgeMS: s.EvidenceAgeMs,
			Since: now.Add(-time.Duration(s.SinceAgeMs) * time.Millisecond), Reason: outcome.Reason(clip(s.Reason)), WritesRefused: s.WritesRefused}
		if !slices.Contains(verdicts, o.Verdict) {
			o.Verdict = health.Unknown
		}
		for _, g := range s.Missing[:min(len(s.Missing), maxGaps)] {
			o.Missing = append(o.Missing, coverage.Gap{Range: keyrange.Range{First: g.First, Last: g.Last}, Reason: outcome.Reason(clip(g.Reason))})
		}
		out.States = append(out.States, o)
	}
	return out
}
