// Package logger creates the structured logger of a process.
//
// # Usage
//
//	l := logger.New(logger.Config{Out: os.Stderr, Level: "info", Node: "sapporo-entry-1"})
package logger

import (
	"io"

	"github.com/phuslu/log"
)

// Config configures a logger.
type Config struct {
	Out io.Writer
	// Level is the lowest severity that is logged: debug, info, warn or error.
	Level string
	// Node is the value of the field node on each line.
	Node string
}

// New returns a logger that writes one JSON object per line.
func New(c Config) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(c.Level),
		Context: log.NewContext(nil).Str("node", c.Node).Value(),
		Writer:  &log.IOWriter{Writer: c.Out},
	}
}
