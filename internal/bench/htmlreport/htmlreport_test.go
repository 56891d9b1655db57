package htmlreport_test

import (
	"strings"
	"testing"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/htmlreport"
	"egrethaven/internal/bench/scenario"
)

func TestWritePlotsAndEscaping(t *testing.T) {
	ps := []scenario.Point{{X: 0, Y: 1}, {X: 0.5, Y: 2}, {X: 0.99, Y: 9}, {X: 1, Y: 9}}
	r := scenario.Report{
		Scenario: "crash", Seed: 7,
		Arms: []scenario.Arm{
			{Name: "current", LatencyMS: ps, Series: []scenario.Series{{Name: "p99_ms", Points: ps}}, Figures: []scenario.Figure{figure.AtMost("extra_load", 0.03, 0.02)}},
			{Name: "naive", LatencyMS: ps},
		},
		Timeline: []scenario.Event{{Second: 0.3, What: "crash of <s-1>"}},
	}
	var b strings.Builder
	if err := htmlreport.Write(&b, r); err != nil {
		t.Fatal(err)
	}
	s := b.String()
	if n := strings.Count(s, "<svg"); n != 3 {
		t.Errorf("%d plots, want 3", n)
	}
	for _, want := range []string{"crash of &lt;s-1&gt;", `class="missed"`, "Latency by quantile"} {
		if !strings.Contains(s, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
}
