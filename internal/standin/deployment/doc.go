// Package deployment starts the stand-in searchers of a service and gives
// them their shards: each failure domain holds every shard a number of times.
// Fleets of several services stand for Takasago and Moisi with the sample
// records of internal/standin/dataset.
//
// # Usage
//
//	d, err := deployment.New(deployment.Config{Service: "bench", Shards: 140, Replicas: 3, Records: rs, Searcher: template})
//	defer d.Close()
//	list := d.VMs()
//	d.Publish(deployment.Change{Ranges: deployment.SplitShard(ranges, 3), Touch: true})
package deployment
