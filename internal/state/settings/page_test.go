package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"egrethaven/internal/state/accountfile"
	"egrethaven/internal/state/field"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
)

// TestPage checks that docs/SETTINGS.md has exactly one row per key, with the
// key's unit, default and allowed values.
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
	specs := append(settings.Reference(), search.Reference()...)
	specs = append(specs, gatewaysettings.Reference()...)
	specs = append(specs, accountfile.Reference()...)
	for _, spec := range specs {
		if row := formatRow(spec); !contains(page, row) {
			t.Errorf("docs/SETTINGS.md lacks the row\n%s", row)
		}
	}
	if rows != len(specs) {
		t.Errorf("docs/SETTINGS.md has %d keys, the code %d", rows, len(specs))
	}
}

func formatRow(spec field.Spec) string {
	defaultValue := "`" + spec.Default + "`"
	if spec.Default == "" {
		defaultValue = "none"
	}
	if spec.Required {
		defaultValue = "required"
	}
	unit := spec.Unit
	if unit == "" {
		unit = "-"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", spec.Key, unit, defaultValue, spec.Allowed, spec.Help)
}

func contains(page []string, row string) bool {
	for _, l := range page {
		if l == row {
			return true
		}
	}
	return false
}
