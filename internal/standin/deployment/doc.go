// Package deployment starts the stand-in searchers of a service and assigns
// their shards, with a number of replicas of every shard in each failure
// domain. Fleets of several services model the customers Takasago and Moisi
// with the sample records of internal/standin/dataset.
//
// # Usage
//
//	d, err := deployment.New(deployment.Config{Service: "bench", Shards: 140, Replicas: 3, Records: rs, Searcher: template})
//	defer d.Close()
//	list := d.VMs()
//	d.Publish(deployment.Change{Ranges: deployment.SplitShard(ranges, 3), BumpRevisions: true})
package deployment
