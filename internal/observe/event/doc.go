// Package event records the numbered events of one process in a ring buffer of fixed
// size. Events carry timestamps of a hybrid logical clock, so that the events of all
// processes can be merged into one time line.
//
// Numbers are grouped by area: 100 node, 200 query, 300 backend servers,
// 400 platform, 500 configuration, 600 peers, 700 writes, 800 health,
// 900 operators. docs/EVENTS.md describes each event.
//
// # Usage
//
//	sink.Emit(event.SearcherDraining, "s-17", "header on answer")
package event
