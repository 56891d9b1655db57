// Package command holds the commands of the egrethaven program.
package command

import "io"

// Main runs the program and returns its exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	_, _, _, _ = args, in, out, errs
	return 2
}
