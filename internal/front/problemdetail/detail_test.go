package problemdetail_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/query/outcome"
)

// TestDocumentedStatuses checks the table of problems in docs/API.md against the
// code.
func TestDocumentedStatuses(t *testing.T) {
	b, err := os.ReadFile("../../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	_, page, _ := strings.Cut(string(b), "### Problems")
	page, _, _ = strings.Cut(page, "## Operator API")
	rows := regexp.MustCompile("(?m)^\\| (`.*`) \\| ([0-9, ]+) \\|").FindAllStringSubmatch(page, -1)
	seen := 0
	for _, m := range rows {
		for r := range strings.SplitSeq(m[1], ", ") {
			seen++
			d := problemdetail.New(outcome.NotRun(outcome.Reason(strings.Trim(r, "`"))), "")
			hasOwnDetail := d.Reason == outcome.BadRequest || d.Reason == outcome.UnknownSearch
			if d.Detail == "" && !hasOwnDetail {
				t.Errorf("reason %s has no default detail", r)
			}
			if !strings.Contains(m[2], strconv.Itoa(d.Status)) {
				t.Errorf("reason %s: status %d in the code, %s in docs/API.md", r, d.Status, m[2])
			}
		}
	}
	if reasons := countReasons(t); seen != reasons {
		t.Errorf("docs/API.md lists %d reasons, the code declares %d", seen, reasons)
	}
}

// countReasons returns the number of reasons that package outcome declares.
func countReasons(t *testing.T) int {
	b, err := os.ReadFile("../../query/outcome/outcome.go")
	if err != nil {
		t.Fatal(err)
	}
	return len(regexp.MustCompile(`(?m)Reason += "[a-z_]+"$`).FindAll(b, -1))
}
