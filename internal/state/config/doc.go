// Package config keeps the operators' configuration in force on one node.
//
// The platform's service holds one root value: the revision, the change that
// led to it, and for each search the hash of a document under a key of its
// own. Documents never change. A change writes its documents first and then
// swaps the root, so the root decides alone and every accepted change is one
// step of a single line of revisions. Documents that no root names any more
// are swept later.
//
// A Manager keeps the highest revision that it has seen and refuses lower
// ones from whoever sends them, the service included. A value that does not
// match its hash is refused, counted and reported; the last good configuration
// stays in force.
//
// # Usage
//
//	m := config.New(config.Config{Store: store, Node: "e-7", Events: sink})
//	defer m.Close()
//	s := m.Current()
//	r := m.Apply(ctx, config.Change{ID: id, Author: "mika", Put: defs})
package config
