package gatewaysettings

import (
	"bytes"
	"context"
	"os"
	"time"

	"egrethaven/internal/state/problem"
)

// watchInterval is the time between two looks at the file: a change without a
// signal takes effect within it.
const watchInterval = 5 * time.Second

// WatcherConfig sets up a Watcher.
type WatcherConfig struct {
	// File is the path of the settings.
	File string
	// Read is the content that is in force.
	Read []byte
	// Signal asks for a look at once.
	Signal <-chan os.Signal
	// Changed takes settings without problems that differ from those before.
	Changed func(Settings)
	// Refused takes the problems of a file; the settings in force stay.
	Refused func([]problem.Problem)
}

// Watcher reads a settings file again when it changes or when it is told to.
type Watcher struct {
	c    WatcherConfig
	last []byte
}

// NewWatcher returns a watcher of a file that was read before.
func NewWatcher(c WatcherConfig) *Watcher { return &Watcher{c: c, last: c.Read} }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-w.c.Signal:
		}
		w.look()
	}
}

// look reads the file and hands on what has changed. A file that cannot be
// read or has problems is reported once for each content.
func (w *Watcher) look() {
	b, err := os.ReadFile(w.c.File)
	if err != nil {
		b = []byte(err.Error())
	}
	if bytes.Equal(b, w.last) {
		return
	}
	w.last = b
	if err != nil {
		w.c.Refused([]problem.Problem{{File: w.c.File, What: err.Error()}})
		return
	}
	s, ps := Parse(w.c.File, b)
	if len(ps) > 0 {
		w.c.Refused(ps)
		return
	}
	w.c.Changed(s)
}
