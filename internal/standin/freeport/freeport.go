// Package freeport gives test processes loopback ports that no other test process is given.
//
// A port that is only found free can be found by another test process as well, and by one that
// starts while a gateway is restarted. Processes therefore reserve blocks of ports, by
// listening on the first port of each.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// Ports are below the ephemeral range, so that no outgoing connection takes one.
	firstPort, endPort = 10_000, 30_000
	// blockSize is the number of ports that are reserved at once: enough for most tests of a
	// package, and a small share of all.
	blockSize = 100
)

var errNoBlock = errors.New("freeport: all blocks of ports are reserved")

// Allocator gives out ports. The zero value is ready for use, by several goroutines.
type Allocator struct {
	mu sync.Mutex
	// guards listen on the first ports of the reserved blocks.
	guards []net.Listener
	// next is the next port of the current block, which ends before end.
	next, end int
}

// Addr returns a loopback address that nothing listens on, and that is not given out again.
func (a *Allocator) Addr() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			if err := a.reserve(); err != nil {
				return "", err
			}
		}
		addr := loopback(a.next)
		a.next++
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
}

// Close gives the reserved blocks back.
func (a *Allocator) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var errs []error
	for _, l := range a.guards {
		errs = append(errs, l.Close())
	}
	a.guards, a.next, a.end = nil, 0, 0
	return errors.Join(errs...)
}

// reserve reserves a free block. Processes that start one after the other begin to look for one
// at different blocks. The lock is held.
func (a *Allocator) reserve() error {
	const blocks = (endPort - firstPort) / blockSize
	start := os.Getpid()
	for n := range blocks {
		first := firstPort + (start+n)%blocks*blockSize
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			a.guards = append(a.guards, l)
			a.next, a.end = first+1, first+blockSize
			return nil
		}
	}
	return errNoBlock
}

// loopback returns the loopback address with a port.
func loopback(port int) string { return fmt.Sprint("127.0.0.1:", port) }
