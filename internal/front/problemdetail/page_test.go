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

// TestPage holds the statuses in docs/API.md against the code.
func TestPage(t *testing.T) {
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
			own := d.Reason == outcome.BadRequest || d.Reason == outcome.UnknownSearch
			if d.Detail == "" && !own {
				t.Errorf("%s has no words", r)
			}
			if !strings.Contains(m[2], strconv.Itoa(d.Status)) {
				t.Errorf("%s has status %d, the page says %s", r, d.Status, m[2])
			}
		}
	}
	if reasons := declared(t); seen != reasons {
		t.Errorf("the page has %d reasons, the code %d", seen, reasons)
	}
}

// declared counts the reasons that package outcome declares.
func declared(t *testing.T) int {
	b, err := os.ReadFile("../../query/outcome/outcome.go")
	if err != nil {
		t.Fatal(err)
	}
	return len(regexp.MustCompile(`(?m)Reason += "[a-z_]+"$`).FindAll(b, -1))
}
