// Package reply reads the responses of searchers and decides what they prove.
//
// A searcher in trouble may answer with anything. A response proves something only if
// HTTP/1.1 allows it and all readers delimit it alike. Any other one fails with ErrInvalid:
// the request may have run, nothing in the response counts, and the connection cannot be
// used again. All connections to searchers read their responses with Read; Check is for a
// response that has passed through another VM.
//
// Stricter than net/http, which callers used before: Read refuses a status outside of 200
// to 599 after interim responses, 101, versions other than HTTP/1.x, a length beside another
// length or beside a transfer encoding, a space in a header's name, a status line within a
// header, and a 204 or 304 with a body or one announced.
//
// # Usage
//
//	p, err := reply.Read(r, http.MethodGet)
//	if errors.Is(err, reply.ErrInvalid) { ... }
//	body, err := io.ReadAll(p.Body)
//	reusable := !p.Close && r.Buffered() == 0
package reply

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid means that a response violates HTTP/1.1. Its request may have run.
const ErrInvalid = errors.ConstError("invalid response")

const (
	// A final status is from minStatus to maxStatus.
	minStatus, maxStatus = 200, 599
	// maxInterim is the maximum number of interim responses to a request. Requests to
	// searchers ask for none.
	maxInterim = 16
	// maxQuoted is the length in bytes to which an error cuts what the searcher sent.
	maxQuoted = 40
)

// Reply is a final response whose body has not been read.
type Reply struct {
	// Status is from 200 to 599.
	Status int
	// Header does not have Transfer-Encoding and Trailer.
	Header http.Header
	// Length is the body's length in bytes; -1 if it is not known.
	Length int64
	// Body reads the body. It fails with io.ErrUnexpectedEOF if the connection ends before.
	Body io.Reader
	// Close reports whether no other response can follow on the connection.
	Close bool
}

// Read reads the head of the response to a request with the given method, and skips interim
// responses. Errors other than ErrInvalid are those of the connection; one that ends
// within the head gives io.ErrUnexpectedEOF.
func Read(r *bufio.Reader, method string) (*Reply, error) {
	for range maxInterim {
		status, minor, err := readStatusLine(r)
		if err != nil {
			return nil, err
		}
		h, err := readHeader(r)
		if err != nil {
			return nil, err
		}
		if status/100 == 1 && status != http.StatusSwitchingProtocols {
			continue
		}
		if err := Check(status, 0); err != nil {
			return nil, err
		}
		return frame(r, method, status, minor, h)
	}
	return nil, errors.Annotatef(ErrInvalid, "%d interim responses", maxInterim)
}

// Check returns ErrInvalid if a final response cannot have the status, or not with a body of
// that length in bytes.
func Check(status, length int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return errors.Annotatef(ErrInvalid, "status %03d", status)
	case hasNoBody(status) && length > 0:
		return errors.Annotatef(ErrInvalid, "status %d with a body", status)
	}
	return nil
}

// hasNoBody reports whether responses with a status have no body.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// readStatusLine reads a status line, such as "HTTP/1.1 200 OK".
func readStatusLine(r *bufio.Reader) (status, minor int, err error) {
	line, err := r.ReadSlice('\n')
	switch {
	case err == io.EOF:
		return 0, 0, io.ErrUnexpectedEOF
	case err != nil && err != bufio.ErrBufferFull:
		return 0, 0, err
	}
	s := strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r")
	const prefix, code, length = "HTTP/1.", len("HTTP/1.1 "), len("HTTP/1.1 200")
	if err != nil || len(s) < length || !strings.HasPrefix(s, prefix) || !isDigit(s[len(prefix)]) || s[code-1] != ' ' ||
		!isDigit(s[code]) || !isDigit(s[code+1]) || !isDigit(s[code+2]) || len(s) > length && s[length] != ' ' ||
		strings.ContainsAny(s, "\r\x00") || containsStatusLine(s[length:]) {
		return 0, 0, errors.Annotatef(ErrInvalid, "status line %.*q", maxQuoted, s)
	}
	status = int(s[code]-'0')*100 + int(s[code+1]-'0')*10 + int(s[code+2]-'0')
	return status, int(s[len(prefix)] - '0'), nil
}

// readHeader reads and checks the header lines.
func readHeader(r *bufio.Reader) (http.Header, error) {
	t := textproto.Reader{R: r}
	m, err := t.ReadMIMEHeader()
	var syntax textproto.ProtocolError
	switch {
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	case errors.As(err, &syntax):
		return nil, errors.Annotatef(ErrInvalid, "header: %.*q", maxQuoted, string(syntax))
	case err != nil:
		return nil, err
	}
	for name, vs := range m {
		if strings.IndexByte(name, ' ') >= 0 {
			return nil, errors.Annotatef(ErrInvalid, "header name %.*q", maxQuoted, name)
		}
		for _, v := range vs {
			if containsStatusLine(v) {
				return nil, errors.Annotate(ErrInvalid, "two responses in one header")
			}
		}
	}
	return http.Header(m), nil
}

// containsStatusLine reports whether a text contains the start of a status line, such as
// "HTTP/1.1 200". After a response that breaks off in its header, such as a second one to
// the exchange before, the next response continues that header with its status line.
func containsStatusLine(s string) bool {
	const start, length = "HTTP/1.", len("HTTP/1.1 200")
	for {
		i := strings.Index(s, start)
		if i < 0 || len(s) < i+length {
			return false
		}
		s = s[i+len(start):]
		if isDigit(s[0]) && s[1] == ' ' && isDigit(s[2]) && isDigit(s[3]) && isDigit(s[4]) {
			return true
		}
	}
}

// isDigit reports whether a byte is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// frame returns the reply with a body delimited by its header.
func frame(r *bufio.Reader, method string, status, minor int, h http.Header) (*Reply, error) {
	p := &Reply{Status: status, Header: h, Close: closes(minor, h["Connection"])}
	encodings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	delete(h, "Transfer-Encoding")
	delete(h, "Trailer")
	chunked, length := len(encodings) > 0, int64(-1)
	switch {
	case len(lengths) > 1, len(lengths) > 0 && chunked:
		return nil, errors.Annotatef(ErrInvalid, "%d lengths and %d transfer encodings", len(lengths), len(encodings))
	case chunked && (len(encodings) > 1 || !strings.EqualFold(strings.TrimSpace(encodings[0]), "chunked") || minor == 0):
		return nil, errors.Annotatef(ErrInvalid, "transfer encoding %.*q in HTTP/1.%d", maxQuoted, strings.Join(encodings, ","), minor)
	case len(lengths) == 1:
		n, err := strconv.ParseUint(strings.TrimSpace(lengths[0]), 10, 63)
		if err != nil {
			return nil, errors.Annotatef(ErrInvalid, "length %.*q", maxQuoted, lengths[0])
		}
		length = int64(n)
	}
	switch {
	case hasNoBody(status) && (chunked || length > 0 || r.Buffered() > 0):
		return nil, errors.Annotatef(ErrInvalid, "status %d with a body", status)
	case hasNoBody(status) || method == http.MethodHead:
		p.Body = http.NoBody
	case chunked:
		p.Length, p.Body = -1, newChunkedBody(r)
	case length >= 0:
		p.Length, p.Body = length, &fixedBody{io.LimitedReader{R: r, N: length}}
	default:
		p.Length, p.Body, p.Close = -1, r, true
	}
	return p, nil
}

// closes reports whether the connection ends after a response of HTTP/1.minor with these
// values of Connection.
func closes(minor int, values []string) bool {
	keep := minor > 0
	for _, v := range values {
		for token := range strings.SplitSeq(v, ",") {
			switch token = strings.TrimSpace(token); {
			case strings.EqualFold(token, "close"):
				return true
			case strings.EqualFold(token, "keep-alive"):
				keep = true
			}
		}
	}
	return !keep
}
