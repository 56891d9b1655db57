package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"egrethaven/platform/dialect"
)

// The socket options of a searcher's listener make a loopback connection like one over an
// Ethernet link with a small window: loopback segments of 64 KB would let the kernel of the
// sender buffer megabytes.
const (
	ethernetMSS   = 1460
	receiveWindow = 64 << 10
)

// searcherProcess is a searcher in a process of its own, so that signals can stop it.
type searcherProcess struct {
	id, addr, zone string
	cmd            *exec.Cmd
	mu             sync.Mutex
	runs           map[string]time.Time
}

// startSearcher starts a searcher process and reads what it runs.
func startSearcher(id, zone string, work time.Duration, rec *record) *searcherProcess {
	s := &searcherProcess{id: id, addr: freeAddr(), zone: zone, runs: map[string]time.Time{}}
	s.cmd = exec.Command(os.Args[0], "searcher", id, s.addr, work.String())
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		cannotRun("piping a searcher's output: %v", err)
	}
	s.cmd.Stderr = os.Stderr
	start(s.cmd)
	listening := make(chan struct{})
	go func() {
		for l := bufio.NewScanner(out); l.Scan(); {
			what, attempt, _ := strings.Cut(l.Text(), " ")
			if what == "listening" {
				close(listening)
				continue
			}
			rec.addf("%s %s %s", id, what, attempt)
			if what == "run" {
				s.mu.Lock()
				s.runs[attempt] = time.Now()
				s.mu.Unlock()
			}
		}
	}()
	select {
	case <-listening:
	case <-time.After(5 * time.Second):
		cannotRun("searcher %s does not listen", id)
	}
	return s
}

// runSearcher is the searcher process: it reads a whole request, runs it and answers.
func runSearcher(id, addr, work string) {
	d, err := time.ParseDuration(work)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetMSS); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveWindow)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var mu sync.Mutex
	say := func(what, attempt string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Println(what, attempt)
	}
	slots := make(chan struct{}, 4)
	say("listening", "")
	err = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(dialect.AttemptID)
		w.Header().Set(dialect.AttemptID, attempt)
		if r.Header.Get(dialect.ExpectInstance) != id {
			w.Header().Set(dialect.InstanceID, id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			w.Header().Set(dialect.NotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		say("run", attempt)
		time.Sleep(d)
		w.Header().Set(dialect.ServerStamp, id+"."+attempt)
		_, _ = io.WriteString(w, "done "+attempt)
	}))
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

func readAll(r *http.Response) ([]byte, error) { return io.ReadAll(r.Body) }
