package dataset

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"

	"egrethaven/internal/query/record"
)

//go:embed data/*.jsonl
var sampleFiles embed.FS

// Warranty returns Takasago's warranty registrations. Records of the source
// old_ledger have schema version 1, the others 2.
func Warranty() []record.Record { return load("warranty") }

// Jobs returns the sealant jobs that Takasago's contractors registered.
func Jobs() []record.Record { return load("jobs") }

// Meters returns Moisi's damp meters.
func Meters() []record.Record { return load("meters") }

// Loans returns Moisi's loans of meters.
func Loans() []record.Record { return load("loans") }

// Returns returns Moisi's meter returns.
func Returns() []record.Record { return load("returns") }

// Readings returns Moisi's reading histories.
func Readings() []record.Record { return load("readings") }

// Synthetic returns n records, each with one of distinctWords different
// words.
func Synthetic(n, distinctWords int) []record.Record {
	rs := make([]record.Record, n)
	for i := range rs {
		rs[i] = record.Record{
			Key:           fmt.Sprintf("k-%06d", i),
			SchemaVersion: 2,
			Revision:      1,
			Source:        "synthetic",
			Fields:        record.Fields{"word": fmt.Sprintf("w%d.", i%distinctWords)},
		}
	}
	return rs
}

// load reads the records of an embedded JSON lines file.
func load(name string) []record.Record {
	b, err := sampleFiles.ReadFile("data/" + name + ".jsonl")
	if err != nil {
		panic(err)
	}
	var rs []record.Record
	for line := range bytes.Lines(b) {
		var r record.Record
		if err := json.Unmarshal(line, &r); err != nil {
			panic(fmt.Sprintf("dataset: parsing %s: %v", name, err))
		}
		rs = append(rs, r)
	}
	return rs
}
