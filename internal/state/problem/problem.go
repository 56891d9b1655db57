// Package problem describes errors in files and values written by operators:
// the position, what is wrong and which values are allowed.
//
// # Usage
//
//	p := problem.Problem{File: "node.ini", Line: 7, Section: "limits", Key: "max_body",
//		Message: `"many" is not a whole number`, Allowed: "1024 to 1048576"}
//	fmt.Println(p)
package problem

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a single validation error.
type Problem struct {
	File string `json:"file,omitempty"`
	// Line is the line number, starting at 1, or 0 if the problem does not
	// belong to one line.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Message says what is wrong.
	Message string `json:"what"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem on one line: position, message, allowed values.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Sort orders problems by line, section and key.
func Sort(ps []Problem) {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
}

// Strings returns the text of each problem.
func Strings(ps []Problem) []string {
	ss := make([]string, len(ps))
	for i, p := range ps {
		ss[i] = p.String()
	}
	return ss
}
