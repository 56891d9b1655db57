// Package command implements the commands of the egrethaven program, one file
// per command.
//
// A command value has a name, a help text and a setup function that registers
// the flags and returns the action. list.go lists all commands, and exit.go
// defines the exit codes that they share.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package command
