// Package e2e runs the scripts of testdata/script against egrethaven processes.
// The stand-ins for the platform and the searchers run in the test process.
// Each failure domain reaches them through fault proxies of its own. Commands
// poll for conditions, so that results do not depend on timing.
//
// The commands, in addition to those of testscript:
//
//	searchers SERVICE domains=a,b shards=N replicas=N [each=N] [median=D] [poison=T] [writes]
//	node NAME DOMAIN              start `egrethaven serve` and wait until it listens
//	ready NODE                    wait until /ready returns 200
//	define NODE SEARCH SERVICE [KEY=VALUE...]  apply a definition and wait until all nodes answer queries
//	cli NODE COMMAND...           run a command against the node's operator API
//	ask NODE SEARCH [text=T] [partial] [want=complete|partial|not_run|failed] [reason=R] [hedged] [poll]
//	record NODE SEARCH key=K id=N [want=ok|not_run|unknown] [reason=R] [repeated] [poll]
//	runs SERVICE N COUNT          check how often record request N ran
//	searcher SERVICE SELECTOR ACTION   SELECTOR: index, domain, row:N, all
//	link DOMAIN home|other|platform ACTION   set a fault on the proxies of a domain to its
//	                              own searchers, to those of other domains or to the platform
//	platform ACTION               down, up, slow, lose=F, lag=D, lapse, unlist=SERVICE/INDEX
//	publish SERVICE [split=I] [merge=I] [move] [keep=N]
//	load NODE SEARCH / unload [min=N]  query in the background; every answer must be complete
//	stop-during NODE SEARCH SERVICE  stop a node while queries are in flight on it
//	answers [min=N]              wait until each load has received N more answers
//	stop NODE, kill-node NODE, pause-node NODE, resume-node NODE
//	crashes SERVICE most=N [least=N]
//	event NODE NAME [SUBJECT]     wait for an event in the node's time line
//	quiet SERVICE SELECTOR        wait until no requests arrive at these searchers
//
// Every answer is compared with the records that the searchers hold.
package e2e
