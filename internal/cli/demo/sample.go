package demo

import "egrethaven/internal/query/record"

// sampleQuery is a query that the demo runs.
type sampleQuery struct {
	search string
	text   string
}

// sampleWrite is a record that the demo registers.
type sampleWrite struct {
	search string
	record record.Record
}

var takasagoQueries = []sampleQuery{
	{search: "warranty", text: "skylight"},
	{search: "ledger", text: "skylight"},
	{search: "jobs", text: "Hakodate"},
	{search: "reports", text: "polysulfide"},
}

var moisiQueries = []sampleQuery{
	{search: "readings", text: "M-"},
	{search: "billing", text: "M-"},
	{search: "meters", text: "M-"},
	{search: "returns", text: "M-"},
}

var takasagoWrite = sampleWrite{search: "jobs", record: record.Record{
	Key:           "J-9001",
	SchemaVersion: 2,
	Source:        "contractor_portal",
	Fields:        record.Fields{"installer": "Ezo Roofing", "city": "Otaru", "sealant": "TS-110 silicone", "joint": "skylight", "metres": "12", "applied_on": "2026-12-01"},
}}

var moisiWrite = sampleWrite{search: "returns", record: record.Record{
	Key:           "R-9001",
	SchemaVersion: 2,
	Source:        "return_logging",
	Fields:        record.Fields{"loan": "L-3000", "meter": "M-268", "depot": "Triolet", "condition": "good", "returned_on": "2026-12-01"},
}}
