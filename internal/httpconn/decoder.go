package httpconn

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// headScanner finds the end of a response head in bytes that arrive in pieces.
type headScanner struct {
	// lineStart is the start of the first line that is not complete yet, and lines the
	// number of complete lines.
	lineStart, lines int
	// skipped is the size of the informational responses before this one.
	skipped int
}

var (
	// statusLinePrefix begins each status line.
	statusLinePrefix = []byte("HTTP/1.")
	// colon ends each field name.
	colon = []byte(":")
)

// scan returns the length of the head at the start of b, or 0 if more bytes have to arrive. The
// bytes of an earlier call must still be at the start of b. Lines that cannot belong to a response
// are errors before the head is complete.
func (s *headScanner) scan(b []byte) (int, error) {
	if s.lines == 0 {
		if n := min(len(b), len(statusLinePrefix)); !bytes.Equal(b[:n], statusLinePrefix[:n]) {
			return 0, errors.Wrapf(ErrMalformed, "status line begins with %q", b[:n])
		}
	}
	for s.lineStart < len(b) {
		i := bytes.IndexByte(b[s.lineStart:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(b[s.lineStart:s.lineStart+i], []byte("\r"))
		s.lineStart += i + 1
		s.lines++
		switch {
		case s.lineStart+s.skipped > MaxHeaderBytes:
			return 0, ErrHeaderTooLarge
		case s.lines == 1:
		case len(line) == 0:
			return s.lineStart, nil
		case !startsWithFieldName(line):
			return 0, errors.Wrapf(ErrMalformed, "header line %.40q does not begin with a valid field name", line)
		}
	}
	if len(b)+s.skipped >= MaxHeaderBytes {
		return 0, ErrHeaderTooLarge
	}
	return 0, nil
}

// startsWithFieldName reports whether a header line begins with a field name and a colon. A line that
// begins with a blank does not. It may continue the line before it or have a damaged name, and
// RFC 9112, section 5.2, allows a gateway to reject either.
func startsWithFieldName(line []byte) bool {
	name, _, found := bytes.Cut(line, colon)
	return found && isToken(name)
}

// isToken reports whether b is a token of RFC 9110, section 5.6.2, as field names are.
// net/http accepts names that contain spaces.
func isToken(b []byte) bool {
	for _, c := range b {
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// skip prepares for the head after an informational response.
func (s *headScanner) skip() { *s = headScanner{skipped: s.skipped + s.lineStart} }

// framing is how a body ends.
type framing int

const (
	noBody framing = iota
	byLength
	chunked
	// untilEnd is a body that ends with the connection.
	untilEnd
)

// Limits of chunked bodies.
const (
	// maxChunkSizeDigits is the number of hexadecimal digits of a chunk size.
	maxChunkSizeDigits = 15
	// maxChunkOverhead limits the bytes of extensions and trailers, and those of chunk sizes
	// beyond chunkOverheadAllowance for each chunk and the size of its data.
	maxChunkOverhead       = 16 << 10
	chunkOverheadAllowance = 16
)

// chunkState is what comes next in a chunked body.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailerLineStart
	trailerLine
	lastLF
	bodyEnd
)

// bodyDecoder decodes a response body from bytes that arrive in pieces.
type bodyDecoder struct {
	framing framing
	// left is the number of bytes that are left of the body or, if it is chunked, of the
	// chunk.
	left  int64
	state chunkState
	// digits is the number of digits of the chunk size so far.
	digits int
	// overhead is the number of bytes that were no data; see maxChunkOverhead.
	overhead int64
	// connEnded is set at the end of a body that ends with its connection.
	connEnded bool
}

// begin prepares for the body of a response that http.ReadResponse has returned.
func (d *bodyDecoder) begin(resp *http.Response) {
	*d = bodyDecoder{}
	switch {
	case resp.Body == http.NoBody:
	case len(resp.TransferEncoding) > 0:
		d.framing = chunked
	case resp.ContentLength >= 0:
		d.framing, d.left = byLength, resp.ContentLength
	default:
		d.framing = untilEnd
	}
}

// complete reports whether the body has been decoded to its end.
func (d *bodyDecoder) complete() bool {
	switch d.framing {
	case chunked:
		return d.state == bodyEnd
	case untilEnd:
		return d.connEnded
	default:
		return d.left == 0
	}
}

// decode copies data from b to p. It returns the number of bytes of data and the number of bytes
// of b that it has used.
func (d *bodyDecoder) decode(p, b []byte) (n, used int, err error) {
	switch d.framing {
	case chunked:
		return d.decodeChunks(p, b)
	case untilEnd:
		n = copy(p, b)
	default:
		n = copy(p, b[:min(int64(len(b)), d.left)])
		d.left -= int64(n)
	}
	return n, n, nil
}

func (d *bodyDecoder) decodeChunks(p, b []byte) (n, used int, err error) {
	for used < len(b) && d.state != bodyEnd {
		if d.state == chunkData {
			if n == len(p) {
				break
			}
			k := copy(p[n:], b[used:used+int(min(int64(len(b)-used), d.left))])
			n, used, d.left = n+k, used+k, d.left-int64(k)
			if d.left == 0 {
				d.state = chunkDataCR
			}
			continue
		}
		if err := d.step(b[used]); err != nil {
			return n, used, err
		}
		used++
	}
	return n, used, nil
}

// step decodes one byte that is no data.
func (d *bodyDecoder) step(c byte) error {
	if d.overhead++; d.overhead > maxChunkOverhead {
		return errors.Wrap(ErrMalformed, "chunked body contains too many bytes that are no data")
	}
	switch d.state {
	case chunkSize:
		return d.stepSize(c)
	case chunkExtension:
		switch c {
		case '\r':
			d.state = chunkSizeLF
		case '\n':
			return errors.Wrap(ErrMalformed, "line feed without carriage return after a chunk size")
		}
		return nil
	case chunkSizeLF:
		return d.expect(c, '\n', d.afterSize())
	case chunkDataCR:
		return d.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		d.digits = 0
		return d.expect(c, '\n', chunkSize)
	case trailerLineStart:
		switch c {
		case '\r':
			d.state = lastLF
		case '\n':
			return errors.Wrap(ErrMalformed, "line feed without carriage return after a chunked body")
		default:
			d.state = trailerLine
		}
		return nil
	case trailerLine:
		if c == '\n' {
			d.state = trailerLineStart
		}
		return nil
	default:
		return d.expect(c, '\n', bodyEnd)
	}
}

// stepSize decodes a byte of a chunk size.
func (d *bodyDecoder) stepSize(c byte) error {
	digit := int64(0)
	switch {
	case '0' <= c && c <= '9':
		digit = int64(c - '0')
	case 'a' <= c && c <= 'f':
		digit = int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		digit = int64(c-'A') + 10
	case d.digits == 0:
		return errors.Wrapf(ErrMalformed, "chunk size begins with %q", c)
	case c == '\r':
		d.state = chunkSizeLF
		return nil
	case c == ';' || c == ' ' || c == '\t':
		d.state = chunkExtension
		return nil
	default:
		return errors.Wrapf(ErrMalformed, "%q in a chunk size", c)
	}
	if d.digits++; d.digits > maxChunkSizeDigits {
		return errors.Wrap(ErrMalformed, "chunk size is too long")
	}
	if d.digits == 1 {
		d.left = 0
	}
	d.left = d.left<<4 | digit
	return nil
}

// afterSize returns the state after a chunk size.
func (d *bodyDecoder) afterSize() chunkState {
	if d.left == 0 {
		return trailerLineStart
	}
	d.overhead = max(0, d.overhead-chunkOverheadAllowance-d.left)
	return chunkData
}

func (d *bodyDecoder) expect(c, want byte, next chunkState) error {
	if c != want {
		return errors.Wrapf(ErrMalformed, "%q in a chunked body instead of %q", c, want)
	}
	d.state = next
	return nil
}
