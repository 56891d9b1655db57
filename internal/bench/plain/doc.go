// Package plain calls searchers without the tier, through net/http or through raw
// reads and writes on a connection. The CPU time of these calls is the lower
// bound that the tier's CPU time is compared with.
//
// # Usage
//
//	c, err := plain.NewHTTP(plain.Config{Shards: shards, DeadlineMS: 1000})
//	err = c.Fan(ctx)
//	c.Close()
package plain
