package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"egrethaven/internal/state/field"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
)

// TestPage holds docs/SETTINGS.md against the tables of keys, both ways: each
// row is a key, with its unit, default and range.
func TestPage(t *testing.T) {
	b, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := strings.Split(string(b), "\n")
	rows := 0
	for _, l := range page {
		if strings.HasPrefix(l, "| `") {
			rows++
		}
	}
	all := append(settings.Reference(), search.Reference()...)
	all = append(all, gatewaysettings.Reference()...)
	for _, a := range all {
		if row := row(a); !contains(page, row) {
			t.Errorf("docs/SETTINGS.md lacks the row\n%s", row)
		}
	}
	if rows != len(all) {
		t.Errorf("docs/SETTINGS.md has %d keys, the code %d", rows, len(all))
	}
}

func row(a field.Spec) string {
	otherwise := "`" + a.Default + "`"
	if a.Default == "" {
		otherwise = "none"
	}
	if a.Required {
		otherwise = "required"
	}
	unit := a.Unit
	if unit == "" {
		unit = "-"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", a.Key, unit, otherwise, a.Allowed, a.Help)
}

func contains(page []string, row string) bool {
	for _, l := range page {
		if l == row {
			return true
		}
	}
	return false
}
