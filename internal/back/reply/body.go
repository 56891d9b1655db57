package reply

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/juju/errors"
)

// maxTrailer is the maximum size in bytes of the trailer behind a chunked body.
const maxTrailer = 4 << 10

// fixedBody is a body of a known length.
type fixedBody struct{ io.LimitedReader }

// Read reads from the body.
func (b *fixedBody) Read(p []byte) (int, error) {
	n, err := b.LimitedReader.Read(p)
	if err == io.EOF && b.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a chunked body with its trailer.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
}

// newChunkedBody returns a chunked body that begins with the next byte of r.
func newChunkedBody(r *bufio.Reader) *chunkedBody {
	return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
}

// Read reads from the body. It returns io.EOF once the trailer has been read.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = b.skipTrailer()
	}
	return n, err
}

// skipTrailer reads the trailer and returns io.EOF behind it.
func (b *chunkedBody) skipTrailer() error {
	for size := 0; size <= maxTrailer; {
		line, err := b.r.ReadSlice('\n')
		switch size += len(line); {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return err
		case err == nil && (len(line) == 1 || len(line) == 2 && line[0] == '\r'):
			return io.EOF
		}
	}
	return errors.Annotatef(ErrInvalid, "a trailer of more than %d bytes", maxTrailer)
}
