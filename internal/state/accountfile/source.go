// Package accountfile reads client accounts and their keys from a file, again when it changes. A
// file that cannot be used leaves the accounts before it in force.
//
// # Usage
//
//	s := accountfile.New(accountfile.Config{File: "accounts.ini", Signal: hangup.C(), Events: log})
//	if x := s.Current(); x != nil { a, ok := x.Lookup(key) }
//	s.Close()
package accountfile

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/filewatch"
	"egrethaven/internal/state/problem"
)

// Config configures a Source.
type Config struct {
	// File is the path of the file.
	File string
	// Signal triggers a read of the file at once; nil for none.
	Signal <-chan os.Signal
	Events event.Sink
}

// Source holds the accounts in force. It is safe for concurrent use.
type Source struct {
	c       Config
	current atomic.Pointer[account.Index]
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New reads the file and watches it until Close.
func New(c Config) *Source {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	s := &Source{c: c}
	w := filewatch.New(filewatch.Config{File: c.File, Signal: c.Signal, OnContent: s.use,
		OnError: func(err error) { s.refuse([]problem.Problem{{Message: err.Error()}}) }})
	w.Read()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { w.Run(ctx) })
	return s
}

// Current returns the accounts in force; nil if no valid file was read yet.
func (s *Source) Current() *account.Index { return s.current.Load() }

// Close stops watching and waits for it to end.
func (s *Source) Close() {
	s.cancel()
	s.wg.Wait()
}

// use puts new content in force, or refuses it.
func (s *Source) use(b []byte) {
	x, ps := Parse(s.c.File, b)
	if len(ps) > 0 {
		s.refuse(ps)
		return
	}
	s.current.Store(x)
	s.c.Events.Emit(event.SettingsChanged, s.c.File, fmt.Sprintf("%d accounts", x.Len()))
}

// refuse reports why the content of the file is not used.
func (s *Source) refuse(ps []problem.Problem) {
	for _, p := range problem.Strings(ps) {
		s.c.Events.Emit(event.SettingsRefused, s.c.File, p)
	}
}
