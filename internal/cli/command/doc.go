// Package command holds the commands of the egrethaven program, one file each.
//
// A command is a value with its name, its help and a function that declares
// its flags and returns its action. The list of all commands is in list.go.
// Exit codes are the same for every command: see exit.go.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package command
