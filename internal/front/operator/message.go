package operator

import (
	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// Version describes the build that a node runs.
type Version struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	Node    string `json:"node"`
}

// Searches holds the search definitions in force on the responding node.
type Searches struct {
	Revision uint64              `json:"revision"`
	ChangeID string              `json:"change_id"`
	Searches []search.Definition `json:"searches"`
}

// ChangeResponse is the response to an accepted change.
type ChangeResponse struct {
	config.Result
	// Waited is true if the response waited for all live nodes.
	Waited bool `json:"waited"`
	// Behind lists the live nodes not known to have the revision in force.
	Behind []config.NodeStatus `json:"behind,omitempty"`
}

// ChangeProblem is the response to a change that was not accepted.
type ChangeProblem struct {
	problemdetail.Detail
	Result config.Result `json:"result"`
}
