package metric_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egrethaven/internal/observe/metric"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
)

func TestPrometheusExport(t *testing.T) {
	m, err := metric.New(metric.Config{Node: "a", Domain: "d"})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	m.RecordQuery("s", ask.Answer{Outcome: outcome.OK(), Complete: true, Cost: ask.Cost{Primaries: 7, Hedges: 2}}, 40*time.Millisecond)
	if err := m.RegisterGauge("egrethaven_links", "1", "h", func() float64 { return 5 }); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`egrethaven_query_duration_seconds_bucket{complete="true",failure_domain="d",node="a",outcome="ok",reason="",search="s",le="0.05"} 1`,
		`egrethaven_searcher_calls_total{failure_domain="d",kind="hedge",node="a",search="s"} 2`,
		`egrethaven_links{failure_domain="d",node="a"} 5`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("the export lacks %s:\n%s", want, w.Body)
		}
	}
}
