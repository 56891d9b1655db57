// Package dataset holds the ground truth of a service's stand-in searchers:
// the records of each index version, and the queries and writes that ran.
// Tests and measurements use it as the oracle for the tier's answers.
//
// A published version never changes. Registered records become part of the
// next version.
//
// # Usage
//
//	t := dataset.New(dataset.Config{Records: dataset.Warranty(), Ranges: keyrange.Split(6)})
//	violations := t.CheckAnswer(query, definition, answer)
package dataset
