// Package e2e runs the scripts of testdata/script against real processes of
// egrethaven. The stand-ins (platform, searchers) run in the test process; a
// fault proxy stands before each of them, one for each failure domain that
// asks. Verdicts depend on events: whatever takes time is polled.
//
// The commands, besides those of testscript:
//
//	searchers SERVICE domains=a,b shards=N replicas=N [each=N] [median=D] [poison=T] [writes]
//	node NAME DOMAIN              start `egrethaven serve`, and wait until it listens
//	ready NODE                    wait until /ready says yes
//	define NODE SEARCH SERVICE [KEY=VALUE...]  apply a definition, and wait until all nodes answer
//	cli NODE COMMAND...           run a command against the node's operator port
//	ask NODE SEARCH [text=T] [partial] [want=complete|partial|not_run|failed] [reason=R] [hedged] [poll]
//	record NODE SEARCH key=K id=N [want=ok|not_run|unknown] [reason=R] [repeated] [poll]
//	runs SERVICE N COUNT          how often record request N ran
//	searcher SERVICE SELECTOR ACTION   SELECTOR: index, domain, row:N, all
//	link DOMAIN searchers|platform ACTION   faults of the proxies that a domain uses
//	platform ACTION               down, up, slow, lose=F, lag=D, lapse, unlist=SERVICE/INDEX
//	publish SERVICE [split=I] [merge=I] [move] [keep=N]
//	load NODE SEARCH / unload [min=N]  ask in the background; every answer must be complete
//	stop-during NODE SEARCH SERVICE  stop a node while queries run on it
//	answers [min=N]              wait until the loads had so many more answers
//	stop NODE, kill-node NODE, pause-node NODE, resume-node NODE
//	crashes SERVICE most=N [least=N]
//	event NODE NAME [SUBJECT]     wait for an event in the node's time line
//	quiet SERVICE SELECTOR        no request arrives at these searchers any more
//
// Every answer is compared with the truth of the searchers.
package e2e
