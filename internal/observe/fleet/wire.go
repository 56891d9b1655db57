package fleet

import (
	"slices"
	"strings"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/peer/observerpc"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
)

// verdicts lists the verdicts that a node may report.
var verdicts = []health.Verdict{health.OK, health.Degraded, health.Down, health.Unknown}

func encodeStamp(s event.Stamp) *observerpc.Stamp {
	return &observerpc.Stamp{WallMs: s.WallMS, Logical: s.Logical}
}

func decodeStamp(s *observerpc.Stamp) event.Stamp {
	return event.Stamp{WallMS: s.GetWallMs(), Logical: s.GetLogical()}
}

func encodeEvent(e event.Event) *observerpc.Event {
	return &observerpc.Event{Number: uint32(e.Number), Stamp: encodeStamp(e.Stamp), Subject: truncate(e.Subject), Detail: truncate(e.Detail)}
}

func decodeEvent(e *observerpc.Event, node string) event.Event {
	n := event.Number(e.Number)
	return event.Event{Number: n, Name: n.Name(), Stamp: decodeStamp(e.Stamp), Node: node, Subject: truncate(e.Subject), Detail: truncate(e.Detail)}
}

// truncate shortens a text to maxTextBytes and replaces invalid UTF-8, which the
// codec rejects.
func truncate(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxTextBytes)], "?")
}

// encodeReport converts a report to its wire format, which contains ages instead of
// times.
func encodeReport(r health.Report, now time.Time) *observerpc.HealthReply {
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

// decodeReport converts a report from its wire format. It replaces undefined
// verdicts by health.Unknown.
func decodeReport(r *observerpc.HealthReply, now time.Time) health.Report {
	out := health.Report{Node: r.Node, Domain: failuredomain.Domain(r.FailureDomain), At: now, ConfigRevision: r.ConfigRevision, ConfigAgeMS: r.ConfigAgeMs}
	for _, s := range r.States[:min(len(r.States), maxStates)] {
		o := health.State{Search: truncate(s.Search), Domain: out.Domain, Verdict: health.Verdict(s.Verdict), AgeMS: s.EvidenceAgeMs,
			Since: now.Add(-time.Duration(s.SinceAgeMs) * time.Millisecond), Reason: outcome.Reason(truncate(s.Reason)), WritesRefused: s.WritesRefused}
		if !slices.Contains(verdicts, o.Verdict) {
			o.Verdict = health.Unknown
		}
		for _, g := range s.Missing[:min(len(s.Missing), maxGaps)] {
			o.Missing = append(o.Missing, coverage.Gap{Range: keyrange.Range{First: g.First, Last: g.Last}, Reason: outcome.Reason(truncate(g.Reason))})
		}
		out.States = append(out.States, o)
	}
	return out
}
