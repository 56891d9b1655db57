// Package filewatch reads a file again periodically and on a signal, and reports new content.
//
// # Usage
//
//	w := filewatch.New(filewatch.Config{File: path, Signal: hangup.C(), OnContent: use, OnError: report})
//	w.Run(ctx)
package filewatch

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is the time within which a change is seen without a signal.
const pollInterval = 5 * time.Second

// Config configures a Watcher.
type Config struct {
	// File is the path of the file.
	File string
	// CurrentContent is the content that is known already; nil if the file was not read yet.
	CurrentContent []byte
	// Signal triggers a read of the file at once; nil for none.
	Signal <-chan os.Signal
	// OnContent is called with new content.
	OnContent func([]byte)
	// OnError is called when the file cannot be read, once for each error text in a row.
	OnError func(error)
}

// Watcher reports changes of a file.
type Watcher struct {
	c Config
	// last is the content that was read last, or the text of the read error; nil if there is none.
	last []byte
}

// New returns a watcher.
func New(c Config) *Watcher { return &Watcher{c: c, last: c.CurrentContent} }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-w.c.Signal:
		}
		w.Read()
	}
}

// Read reads the file and reports its content or the error, unless it is the same as last time.
// It is not called while Run runs.
func (w *Watcher) Read() {
	b, err := os.ReadFile(w.c.File)
	if err != nil {
		b = []byte(err.Error())
	}
	if w.last != nil && bytes.Equal(b, w.last) {
		return
	}
	w.last = b
	if err != nil {
		w.c.OnError(err)
		return
	}
	w.c.OnContent(b)
}
