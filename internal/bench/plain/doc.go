// Package plain makes searcher calls without any of the tier: by net/http
// alone, and by raw reads and writes on a connection. Their processor time is
// the floor that the tier's own is compared with.
//
// # Usage
//
//	c := plain.NewHTTP(plain.Config{Targets: targets})
//	err := c.Fan(ctx)
//	c.Close()
package plain
