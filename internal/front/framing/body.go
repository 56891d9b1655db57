package framing

const (
	// maxChunkLine is the maximum length in bytes of the line before a chunk, and
	// maxTrailers that of all trailer lines. net/http fails above them without a status.
	maxChunkLine = 4000
	maxTrailers  = 4000
	// maxSizeDigits is the maximum number of digits of the size of a chunk.
	maxSizeDigits = 15
)

// state is what a Body expects next.
type state uint8

const (
	// inData is within the data of a body or chunk, with left bytes to come.
	inData state = iota
	// inSize is within the size of a chunk, inExtension behind it.
	inSize
	inExtension
	// atSizeEnd expects the LF that ends the line before a chunk.
	atSizeEnd
	// atDataCR and atDataLF expect the line end behind a chunk.
	atDataCR
	atDataLF
	// atTrailer is at the beginning of a trailer line, or of the last empty one.
	atTrailer
	inTrailerName
	inTrailerValue
	atTrailerLF
	atEnd
	ended
)

// Body is what is known of the body of one request.
type Body struct {
	state state
	// left is the number of bytes of data to come. Within the size of a chunk it is the
	// size so far.
	left uint64
	// chunked is set from the first chunk on.
	chunked bool
	// line is the length of the current line in bytes, digits that of the size in it.
	line, digits int
	// extensions and trailers are bytes, and lines is the number of trailer lines.
	extensions, trailers, lines int
}

// Scan looks at the bytes behind what it saw before. It returns how many of them belong to
// the request, and whether it has ended. The error is a *Fault.
func (b *Body) Scan(p []byte, l Limits) (n int, done bool, err error) {
	for n < len(p) && b.state != ended {
		if b.state == inData {
			k := int(min(b.left, uint64(len(p)-n)))
			n += k
			if b.left -= uint64(k); b.left > 0 {
				break
			}
			b.state = ended
			if b.chunked {
				b.state = atDataCR
			}
			continue
		}
		if err := b.next(p[n], l); err != nil {
			return n, false, err
		}
		n++
	}
	if b.state == inData && b.left == 0 {
		b.state = ended
	}
	return n, b.state == ended, nil
}

// Left returns the number of bytes of data that are known to follow.
func (b *Body) Left() int {
	if b.state != inData {
		return 0
	}
	return int(min(b.left, 1<<30))
}

// next reads one byte outside of data.
func (b *Body) next(c byte, l Limits) error {
	switch b.state {
	case inSize, inExtension, atSizeEnd:
		return b.size(c, l)
	case atDataCR:
		b.state = atDataLF
		return expect(c, '\r')
	case atDataLF:
		b.state, b.left, b.line, b.digits = inSize, 0, 0, 0
		return expect(c, '\n')
	default:
		return b.trailer(c, l)
	}
}

// size reads one byte of the line before a chunk.
func (b *Body) size(c byte, l Limits) error {
	if b.line++; b.line > maxChunkLine {
		return errExtension
	}
	switch digit, ok := hexDigit(c); {
	case b.state == atSizeEnd:
		b.chunked, b.state = true, inData
		if b.left == 0 {
			b.state = atTrailer
		}
		return expect(c, '\n')
	case c == '\r' && b.digits > 0:
		b.state = atSizeEnd
	case b.state == inExtension:
		if b.extensions++; b.extensions > l.Bytes {
			return errExtension
		}
		if c < ' ' && c != '\t' || c == 0x7f {
			return errChunk
		}
	case ok && b.digits < maxSizeDigits:
		b.left = b.left<<4 | uint64(digit)
		b.digits++
	case c == ';' && b.digits > 0:
		b.state = inExtension
	default:
		return errChunk
	}
	return nil
}

// trailer reads one byte of the trailers.
func (b *Body) trailer(c byte, l Limits) error {
	if b.trailers++; b.trailers > min(maxTrailers, l.Bytes) {
		return errTrailer
	}
	switch b.state {
	case atTrailer:
		if c == '\r' {
			b.state = atEnd
			return nil
		}
		if b.lines++; b.lines > l.Lines {
			return errTrailer
		}
		b.state = inTrailerName
		if !token[c] {
			return errName
		}
	case inTrailerName:
		if c == ':' {
			b.state = inTrailerValue
		} else if !token[c] {
			return errName
		}
	case inTrailerValue:
		if c == '\r' {
			b.state = atTrailerLF
		} else if c == '\n' {
			return errLineEnd
		}
	case atTrailerLF:
		b.state = atTrailer
		return expect(c, '\n')
	case atEnd:
		b.state = ended
		return expect(c, '\n')
	}
	return nil
}

// expect checks a byte of a line end.
func expect(c, want byte) error {
	if c != want {
		return errChunk
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
