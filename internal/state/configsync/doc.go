// Package configsync distributes the configuration to every node without every
// node reading the platform's key-value service.
//
// In each failure domain the first few live nodes in rendezvous-hash order
// watch the root. A node that puts a new revision in force pushes heartbeats
// that carry the revision number; a node that receives a number above its own
// fetches the delta from the sender, and pushes in turn. Each heartbeat also
// carries the time since the service last confirmed the revision, so a node can
// distinguish an unchanged configuration from a lost connection. A node without
// a recent confirmation polls the root itself.
//
// A node that has never had a configuration is not ready; Ready returns the
// reason.
//
// # Usage
//
//	s := configsync.New(configsync.Config{Self: self, Manager: m, Dialer: d, Events: sink})
//	err := s.Register(server.Mux())
//	ms := member.New(member.Config{..., Digest: s.Digest, OnDigest: s.OnDigest})
//	s.Start(ms)
//	defer s.Close()
//	nodes, all := s.WaitForRevision(ctx, revision)
package configsync
