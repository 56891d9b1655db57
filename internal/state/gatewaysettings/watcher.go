package gatewaysettings

import (
	"bytes"
	"context"
	"os"
	"time"

	"egrethaven/internal/state/problem"
)

// pollInterval is the time within which a change takes effect without a signal.
const pollInterval = 5 * time.Second

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// File is the path of the settings file.
	File string
	// CurrentContent is the content that is in effect.
	CurrentContent []byte
	// Signal triggers a read of the file at once.
	Signal <-chan os.Signal
	// OnChange is called with new, valid settings.
	OnChange func(Settings)
	// OnInvalid is called with the problems of a file. The settings stay as they are.
	OnInvalid func([]problem.Problem)
}

// Watcher reloads a settings file periodically and on a signal.
type Watcher struct {
	c WatcherConfig
	// last is the content that was read last, or the text of the read error.
	last []byte
}

// NewWatcher returns a watcher of a file that was read before.
func NewWatcher(c WatcherConfig) *Watcher { return &Watcher{c: c, last: c.CurrentContent} }

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
		w.reload()
	}
}

// reload reads the file and reports new settings or problems, unless the content or
// the read error is the same as last time.
func (w *Watcher) reload() {
	b, err := os.ReadFile(w.c.File)
	if err != nil {
		b = []byte(err.Error())
	}
	if bytes.Equal(b, w.last) {
		return
	}
	w.last = b
	if err != nil {
		w.c.OnInvalid([]problem.Problem{{File: w.c.File, Message: err.Error()}})
		return
	}
	s, ps := Parse(w.c.File, b)
	if len(ps) > 0 {
		w.c.OnInvalid(ps)
		return
	}
	w.c.OnChange(s)
}
