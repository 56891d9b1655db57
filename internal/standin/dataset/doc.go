// Package dataset holds what the stand-in searchers of one service truly
// have: the records of each version of the index, the writes that ran, and
// the queries that ran. It is the oracle of tests and measurements, which
// compare the tier's answers with it.
//
// A version never changes once published. Registered records become part of
// the next version.
//
// # Usage
//
//	t := dataset.New(dataset.Config{Records: dataset.Warranty(), Ranges: keyrange.Split(6)})
//	fs := t.Check(a, definition, answer)
package dataset
