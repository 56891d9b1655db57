// Package record describes one record of an index.
//
// # Usage
//
//	r := record.Record{Key: "S-1042", SchemaVersion: 2, Revision: 7}
package record

// Fields are the named values of a record.
type Fields map[string]string

// Record is one entry of an index: a registered job, a meter, a loan.
type Record struct {
	// Key identifies the record across schema versions, replicas and ledgers.
	Key string `json:"key"`
	// SchemaVersion is the version of the schema that Fields follow.
	SchemaVersion int `json:"schema_version"`
	// Revision orders the states of one record; the highest is the newest.
	Revision uint64 `json:"revision"`
	// Source names the system that the record came from.
	Source string `json:"source,omitempty"`
	// Fields hold the content.
	Fields Fields `json:"fields"`
}
