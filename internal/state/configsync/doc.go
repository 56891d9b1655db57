// Package configsync brings the configuration to every node without every node
// asking the platform's service.
//
// In each failure domain the first few live nodes by rendezvous order hold the
// watch on the root. Whoever puts a new revision in force pushes heartbeats,
// which name it; a node that hears of a revision above its own fetches the
// delta from the node that named it, and pushes in turn. Each heartbeat also
// carries how long ago the service last confirmed the revision, so a node can
// tell "nothing has changed" from "nothing is heard"; only one that has had no
// such word for a while reads the root by itself, now and then.
//
// A node that has never had a configuration is not ready and says why.
//
// # Usage
//
//	s := configsync.New(configsync.Config{Self: self, Manager: m, Dialer: d, Events: sink})
//	err := s.Register(server.Mux())
//	ms := member.New(member.Config{..., Digest: s.Digest, OnDigest: s.OnDigest})
//	s.Start(ms)
//	defer s.Close()
//	nodes, all := s.Wait(ctx, revision)
package configsync
