// Command egrethaven is a query tier between callers and backend servers. It
// answers each query over many shards.
package main

import (
	"os"

	"egrethaven/internal/cli/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
