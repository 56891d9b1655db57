// Package config manages the operators' configuration on one node.
//
// The platform's key-value service, the store, holds one root value: the
// revision, the ID of the change that created it, and for each search the hash
// of its definition. Each definition is a document with a key of its own and is
// never modified. A change writes its documents first and then replaces the root
// by a compare-and-swap. So only the root determines the configuration, and the
// accepted changes form a linear history of revisions. Documents that the root
// no longer references are deleted later.
//
// A Manager keeps the highest revision that it has seen in force and refuses
// lower ones from any source, including the store. A value that does not match
// its hash is refused, counted and reported, and the last valid configuration
// stays in force.
//
// # Usage
//
//	m := config.New(config.Config{Store: store, Node: "e-7", Events: sink})
//	defer m.Close()
//	s := m.Current()
//	r := m.Apply(ctx, config.Change{ID: id, Author: "mika", Put: defs})
package config
