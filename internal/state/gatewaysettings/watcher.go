package gatewaysettings

import (
	"os"

	"egrethaven/internal/state/filewatch"
	"egrethaven/internal/state/problem"
)

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
type Watcher = filewatch.Watcher

// NewWatcher returns a watcher of a file that was read before.
func NewWatcher(c WatcherConfig) *Watcher {
	return filewatch.New(filewatch.Config{
		File: c.File, CurrentContent: c.CurrentContent, Signal: c.Signal,
		OnContent: func(b []byte) {
			s, ps := Parse(c.File, b)
			if len(ps) > 0 {
				c.OnInvalid(ps)
				return
			}
			c.OnChange(s)
		},
		OnError: func(err error) { c.OnInvalid([]problem.Problem{{File: c.File, Message: err.Error()}}) },
	})
}
