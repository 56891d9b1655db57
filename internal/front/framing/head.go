// Package framing finds where requests of HTTP/1.1 begin and end in the bytes of a
// connection, and refuses those that two readers could read differently.
//
// A Head is given the bytes of one request's head, a Body those that follow it. Both keep
// what they have seen, so that each byte is looked at once however few arrive at a time.
//
// What is refused, beside what exceeds the limits: line ends other than CR LF, a CR within a
// line, a space before a header's colon, header lines that continue on the next one, more
// than one Host, more than one Content-Length or one that is no plain number, a
// Content-Length beside a Transfer-Encoding, a Transfer-Encoding other than chunked or in
// HTTP/1.0, and chunk sizes or ends of chunks that are not as RFC 9112 has them.
//
// # Usage
//
//	var h framing.Head
//	size, err := h.Scan(b, limits) // again with more bytes appended to b while size is 0
//	body := h.Body()
//	n, done, err := body.Scan(b[size:], limits)
package framing

import (
	"bytes"
	"net/http"
	"strconv"
)

const (
	// punctuation is the number of bytes by which a head may exceed the limit: the version,
	// spaces, the name of Host and the empty line do not count.
	punctuation = 64
	// maxLengthDigits is the maximum number of digits of a Content-Length.
	maxLengthDigits = 18
	// lineCost is the memory in bytes that a header line takes once it is parsed: its entry
	// in a map, its slice of values and the headers of its strings.
	lineCost = 256
	// byteCost is the memory in bytes for each byte of a head once it is parsed.
	byteCost = 2
)

// Limits limits the heads of requests, and their trailers.
type Limits struct {
	// Bytes is the maximum size of a head, Lines the maximum number of its header lines.
	Bytes, Lines int
}

// Fault is the reason for which a request is refused.
type Fault struct {
	// Status is the status of the response.
	Status int
	Reason string
}

// Error returns the reason.
func (f *Fault) Error() string { return f.Reason }

var (
	errTooLarge  = &Fault{http.StatusRequestHeaderFieldsTooLarge, "the head is over the limit"}
	errLines     = &Fault{http.StatusRequestHeaderFieldsTooLarge, "the head has too many lines"}
	errLineEnd   = &Fault{http.StatusBadRequest, "a line does not end with CR LF, or has a CR inside"}
	errRequest   = &Fault{http.StatusBadRequest, "invalid request line"}
	errVersion   = &Fault{http.StatusHTTPVersionNotSupported, "the version is not HTTP/1"}
	errName      = &Fault{http.StatusBadRequest, "invalid name of a header line, or a space before its colon"}
	errFolded    = &Fault{http.StatusBadRequest, "a header line continues on the next one"}
	errHost      = &Fault{http.StatusBadRequest, "more than one Host"}
	errLength    = &Fault{http.StatusBadRequest, "more than one Content-Length, or an invalid one"}
	errBoth      = &Fault{http.StatusBadRequest, "a Content-Length beside a Transfer-Encoding"}
	errCoding    = &Fault{http.StatusNotImplemented, "a Transfer-Encoding other than chunked"}
	errCoding10  = &Fault{http.StatusBadRequest, "a Transfer-Encoding in HTTP/1.0"}
	errChunk     = &Fault{http.StatusBadRequest, "invalid chunk"}
	errExtension = &Fault{http.StatusRequestEntityTooLarge, "the chunk extensions are over the limit"}
	errTrailer   = &Fault{http.StatusRequestHeaderFieldsTooLarge, "the trailers are over the limit"}
)

// Head is what is known of the head of one request. The zero value is that of one of which
// nothing has arrived.
type Head struct {
	// begin is where the current line begins, and seen the number of bytes in which no
	// further end of a line is.
	begin, seen int
	// started is set once the request line was read.
	started bool
	version byte
	lines   int
	hosts   int
	// length is the Content-Length, valid if lengths is 1.
	length           int64
	lengths, codings int
}

// Scan looks at the bytes that have arrived since the last call: b has all bytes of the head
// so far, and possibly some behind it. It returns the size of the head in bytes, or 0 if it
// has not ended yet. The error is a *Fault.
func (h *Head) Scan(b []byte, l Limits) (int, error) {
	limit := l.Bytes + punctuation
	for {
		i := bytes.IndexByte(b[h.seen:], '\n')
		if i < 0 {
			h.seen = len(b)
			if h.seen > limit {
				return 0, errTooLarge
			}
			return 0, nil
		}
		end := h.seen + i + 1
		line := b[h.begin:end]
		h.begin, h.seen = end, end
		if end > limit {
			return 0, errTooLarge
		}
		n := len(line) - len("\r\n")
		if n < 0 || bytes.IndexByte(line, '\r') != n {
			return 0, errLineEnd
		}
		switch line = line[:n]; {
		case !h.started:
			if err := h.request(line); err != nil {
				return 0, err
			}
		case n == 0:
			return end, h.end()
		default:
			if h.lines++; h.lines > l.Lines {
				return 0, errLines
			}
			if err := h.field(line); err != nil {
				return 0, err
			}
		}
	}
}

// request reads the request line.
func (h *Head) request(line []byte) error {
	h.started = true
	method, rest, ok1 := bytes.Cut(line, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	if !ok1 || !ok2 || !isToken(method) || len(target) == 0 || hasControl(target) {
		return errRequest
	}
	const prefix = "HTTP/1."
	switch n := len(prefix); {
	case len(version) == n+1 && string(version[:n]) == prefix && version[n] >= '0' && version[n] <= '9':
		h.version = version[n] - '0'
		return nil
	case bytes.HasPrefix(version, []byte("HTTP/")) && !bytes.ContainsRune(version, ' '):
		return errVersion
	default:
		return errRequest
	}
}

// field reads a header line.
func (h *Head) field(line []byte) error {
	name, value, err := split(line)
	if err != nil {
		return err
	}
	switch {
	case len(name) == len("Host") && bytes.EqualFold(name, []byte("Host")):
		if h.hosts++; h.hosts > 1 {
			return errHost
		}
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths++
		var ok bool
		if h.length, ok = parseLength(value); h.lengths > 1 || !ok {
			return errLength
		}
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.codings++
		if h.codings > 1 || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
			return errCoding
		}
	}
	return nil
}

// end checks the head as a whole.
func (h *Head) end() error {
	switch {
	case h.codings > 0 && h.lengths > 0:
		return errBoth
	case h.codings > 0 && h.version == 0:
		return errCoding10
	}
	return nil
}

// Memory returns the memory in bytes that a head of the given size takes once it is parsed.
func (h *Head) Memory(size int) int64 { return int64(h.lines)*lineCost + int64(size)*byteCost }

// Body returns the reader of what follows a head that has ended.
func (h *Head) Body() Body {
	if h.codings > 0 {
		return Body{state: inSize}
	}
	return Body{left: uint64(h.length)}
}

// split returns the name and the value of a header line.
func split(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, errFolded
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return nil, nil, errName
	}
	return name, value, nil
}

// parseLength parses a Content-Length.
func parseLength(value []byte) (int64, bool) {
	value = bytes.Trim(value, " \t")
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, false
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	return n, err == nil
}

// hasControl reports whether a target has a space or a control character.
func hasControl(target []byte) bool {
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return true
		}
	}
	return false
}

// token has the characters of names.
var token = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

// isToken reports whether b is a name.
func isToken(b []byte) bool {
	for _, c := range b {
		if !token[c] {
			return false
		}
	}
	return len(b) > 0
}
