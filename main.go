// Command egrethaven answers each query over many shards, between callers
// and backend servers.
package main

import (
	"os"

	"egrethaven/internal/cli/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
