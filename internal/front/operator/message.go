package operator

import (
	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// Version tells which build a node runs.
type Version struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	Node    string `json:"node"`
}

// Searches are the definitions in force on the node that answers.
type Searches struct {
	Revision uint64              `json:"revision"`
	ChangeID string              `json:"change_id"`
	Searches []search.Definition `json:"searches"`
}

// Applied is the answer to a change.
type Applied struct {
	config.Result
	// Waited is true when the answer waited for all live nodes.
	Waited bool `json:"waited"`
	// Behind are live nodes that were not seen to have the revision in force.
	Behind []config.NodeStatus `json:"behind,omitempty"`
}

// Refused is the problem of a change that was not accepted.
type Refused struct {
	problemdetail.Detail
	Result config.Result `json:"result"`
}
