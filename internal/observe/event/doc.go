// Package event records numbered events of one process in a bounded ring,
// stamped with a hybrid logical clock so that the rings of all processes
// merge into one time line.
//
// Numbers are grouped by area: 100 node, 200 query, 300 backend servers,
// 400 platform, 500 configuration, 600 peers, 700 writes, 800 health,
// 900 operators. docs/EVENTS.md lists each.
//
// # Usage
//
//	sink.Emit(event.SearcherDraining, "s-17", "header on answer")
package event
