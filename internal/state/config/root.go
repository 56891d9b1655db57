package config

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
)

const (
	// RootKey is the key of the root value.
	RootKey = "config/root"
	// DocumentPrefix is the prefix of the keys of documents.
	DocumentPrefix = "config/document/"
	// HistoryPrefix is the prefix of the keys of history pages.
	HistoryPrefix = "config/history/"

	// maxRecent is the number of recent changes that the root lists.
	maxRecent = 16
	// archiveInterval is the number of revisions after which the changes listed
	// in the root are copied to a history page.
	archiveInterval = 8
	// pageRevisions is the number of revisions in a history page.
	pageRevisions = 256
	// maxPages is the number of history pages that are kept.
	maxPages = 40
)

// Root is the stored value that determines the configuration in force.
type Root struct {
	Index Index `json:"index"`
	// Recent holds the latest changes, oldest first.
	Recent []HistoryEntry `json:"recent"`
}

// storedRoot is the stored form of a Root.
type storedRoot struct {
	Root json.RawMessage `json:"root"`
	Sum  Hash            `json:"sum"`
}

// EncodeRoot returns the stored form of r.
func EncodeRoot(r Root) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(storedRoot{Root: b, Sum: HashOf(b)})
}

// DecodeRoot parses the stored form of a root. It returns an error for a corrupt
// or invalid root.
func DecodeRoot(b []byte) (Root, error) {
	var s storedRoot
	var r Root
	if err := json.Unmarshal(b, &s); err != nil {
		return r, errors.Annotate(err, "decode configuration root")
	}
	if HashOf(s.Root) != s.Sum {
		return r, errors.NotValidf("checksum of the configuration root")
	}
	if err := json.Unmarshal(s.Root, &r); err != nil {
		return r, errors.Annotate(err, "decode configuration root")
	}
	return r, errors.Annotate(r.Index.Validate(), "decode configuration root")
}

// documentKey returns the store key of the document of r. It includes the
// revision, so a document that is no longer referenced is never referenced
// again.
func documentKey(r Ref) string {
	return fmt.Sprintf("%s%016x-%x", DocumentPrefix, r.WrittenRevision, r.Hash[:16])
}

// pageKey returns the store key of the history page with a revision.
func pageKey(revision uint64) string {
	return fmt.Sprintf("%s%016x", HistoryPrefix, revision/pageRevisions)
}

// findChange returns the entry of a change ID, if there is one.
func findChange(es []HistoryEntry, id string) (HistoryEntry, bool) {
	for _, e := range es {
		if e.ChangeID == id {
			return e, true
		}
	}
	return HistoryEntry{}, false
}
