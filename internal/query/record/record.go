// Package record defines a record of an index.
//
// # Usage
//
//	r := record.Record{Key: "S-1042", SchemaVersion: 2, Revision: 7}
package record

// Fields are the values of a record by field name.
type Fields map[string]string

// Record is one entry of an index, such as a registered job, a meter or a loan.
type Record struct {
	// Key identifies the record across schema versions, replicas and ledgers.
	Key string `json:"key"`
	// SchemaVersion is the version of the schema that Fields follow.
	SchemaVersion int `json:"schema_version"`
	// Revision orders the states of a record; the highest one is the newest.
	Revision uint64 `json:"revision"`
	// Source is the name of the system that the record comes from.
	Source string `json:"source,omitempty"`
	// Fields holds the content of the record.
	Fields Fields `json:"fields"`
}
