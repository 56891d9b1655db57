package config

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

const (
	// RootKey is the key of the root value.
	RootKey = "config/root"
	// DocumentPrefix begins the key of each document.
	DocumentPrefix = "config/document/"
	// HistoryPrefix begins the key of each page of the history.
	HistoryPrefix = "config/history/"

	// recentLimit is how many changes the root itself names.
	recentLimit = 16
	// archiveEvery is after how many revisions the changes named by the root
	// are copied to a page.
	archiveEvery = 8
	// pageSize is how many revisions a page of the history holds.
	pageSize = 256
	// keptPages is how many pages of the history are kept.
	keptPages = 40
)

// Root is the one value that decides which configuration is in force.
type Root struct {
	Index Index `json:"index"`
	// Recent are the latest changes, oldest first.
	Recent []HistoryEntry `json:"recent"`
}

// stored is the form of a Root in the service.
type stored struct {
	Root json.RawMessage `json:"root"`
	Sum  Hash            `json:"sum"`
}

// EncodeRoot returns the stored form of r.
func EncodeRoot(r Root) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(stored{Root: b, Sum: HashOf(b)})
}

// DecodeRoot reads what EncodeRoot returned; anything else is an error.
func DecodeRoot(b []byte) (Root, error) {
	var s stored
	var r Root
	if err := json.Unmarshal(b, &s); err != nil {
		return r, errors.Annotate(err, "root")
	}
	if HashOf(s.Root) != s.Sum {
		return r, errors.NotValidf("sum of the root")
	}
	if err := json.Unmarshal(s.Root, &r); err != nil {
		return r, errors.Annotate(err, "root")
	}
	return r, errors.Annotate(r.Index.Valid(), "root")
}

// documentKey is where the document of a ref is stored. The revision makes it
// unique to one step of the line, so a document that no root names can never
// be named again.
func documentKey(r Ref) string {
	return fmt.Sprintf("%s%016x-%x", DocumentPrefix, r.Written, r.Hash[:16])
}

// pageKey is where the history of a revision is archived.
func pageKey(revision uint64) string {
	return fmt.Sprintf("%s%016x", HistoryPrefix, revision/pageSize)
}

// findChange looks for a change in a list of them.
func findChange(es []HistoryEntry, id string) (HistoryEntry, bool) {
	for _, e := range es {
		if e.ChangeID == id {
			return e, true
		}
	}
	return HistoryEntry{}, false
}
