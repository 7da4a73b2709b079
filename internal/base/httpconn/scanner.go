package httpconn

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxKeptBytes is how much of a line is kept. The lines that say how an answer is framed are
// shorter.
const maxKeptBytes = 128

// The names of the fields that frame a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// state is what the next byte of a connection belongs to.
type state int

const (
	// stateNone means that no answer is due.
	stateNone state = iota
	stateStatusLine
	stateField
	stateTrailer
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateBody
	stateBodyToEnd
)

// scanner follows the answers on a connection and checks each line of their heads and trailers as
// it was sent (RFC 9112). Package net/http takes lines whose field names hold blanks, and joins
// lines that begin with one to the line before. Framing that it refuses isn't checked.
type scanner struct {
	method string
	state  state

	// line holds the first maxKeptBytes bytes of the current line without its end.
	line []byte
	// afterCR is set after a carriage return.
	afterCR bool
	// named is set after the colon of the current field line.
	named bool

	// The following fields describe the current answer. length is -1 if it is not stated.
	chunked bool
	length  int64
	major   int
	minor   int
	status  int

	// left is how many bytes of the body or of the current chunk are still to come.
	left int64
}

// begin expects the answer to a request with the method.
func (s *scanner) begin(method string) {
	*s = scanner{method: method, state: stateStatusLine, length: -1, line: s.line[:0]}
}

// scan takes the next bytes and returns how many of them belong to the answer.
func (s *scanner) scan(p []byte) (int, error) {
	for n := 0; n < len(p); {
		switch s.state {
		case stateNone:
			return n, nil
		case stateBodyToEnd:
			return len(p), nil
		case stateBody, stateChunk:
			taken := min(int64(len(p)-n), s.left)
			n += int(taken)
			s.left -= taken
			if s.left == 0 {
				s.endData()
			}
		default:
			if err := s.scanByte(p[n]); err != nil {
				return n, err
			}
			n++
		}
	}
	return len(p), nil
}

// endData takes the end of a body or of a chunk.
func (s *scanner) endData() {
	if s.state == stateChunk {
		s.state = stateChunkEnd
		return
	}
	s.state = stateNone
}

// scanByte takes a byte of a line.
func (s *scanner) scanByte(b byte) error {
	if s.afterCR && b != '\n' {
		return classError.New("a line of the answer holds a carriage return")
	}
	s.afterCR = b == '\r'
	switch {
	case s.afterCR:
		return nil
	case b == '\n':
		err := s.endLine()
		s.line, s.named = s.line[:0], false
		return err
	}
	if err := s.checkByte(b); err != nil {
		return err
	}
	if len(s.line) < maxKeptBytes {
		s.line = append(s.line, b)
	}
	return nil
}

// checkByte returns an error if the byte must not stand at this place of its line.
func (s *scanner) checkByte(b byte) error {
	inName := (s.state == stateField || s.state == stateTrailer) && !s.named
	switch {
	case inName && b == ':':
		s.named = true
		if len(s.line) == 0 {
			return classError.New("the answer has a field without a name")
		}
	case inName && len(s.line) == 0 && isBlank(b):
		return classError.New("the answer has a field line that begins with a blank")
	case inName && !httpguts.IsTokenRune(rune(b)):
		return classError.New("the answer has a field whose name holds the byte 0x%02x", b)
	case !inName && (b < ' ' && b != '\t' || b == '\x7f'):
		return classError.New("a line of the answer holds the byte 0x%02x", b)
	}
	return nil
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// endLine takes the end of a line.
func (s *scanner) endLine() error {
	switch s.state {
	case stateStatusLine:
		s.endStatusLine()
	case stateField:
		if len(s.line) == 0 {
			return s.endHead()
		}
		return s.endField()
	case stateTrailer:
		if len(s.line) == 0 {
			s.state = stateNone
			return nil
		}
		return s.endField()
	case stateChunkSize:
		return s.endChunkSize()
	case stateChunkEnd:
		if len(s.line) > 0 {
			return classError.New("a chunk of the answer is longer than its size")
		}
		s.state = stateChunkSize
	default:
	}
	return nil
}

// endStatusLine takes the status line. One that net/http refuses sets no status.
func (s *scanner) endStatusLine() {
	version, rest, _ := strings.Cut(string(s.line), " ")
	s.major, s.minor, _ = http.ParseHTTPVersion(version)
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	s.status, _ = strconv.Atoi(code)
	s.state = stateField
}

// endField takes a field line and notes how it frames the answer.
func (s *scanner) endField() error {
	if !s.named {
		return classError.New("the answer has a field line without a colon")
	}
	name, value, _ := bytes.Cut(s.line, []byte(":"))
	switch {
	case s.state == stateTrailer:
	case bytes.EqualFold(name, transferEncoding):
		s.chunked = true
	case bytes.EqualFold(name, contentLength):
		length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		if err != nil {
			return classError.New("the answer has an invalid content length")
		}
		s.length = int64(length)
	}
	return nil
}

// endHead takes the empty line after a head.
func (s *scanner) endHead() error {
	switch {
	case s.status/100 == 1 && s.status != http.StatusSwitchingProtocols:
		s.begin(s.method)
	case s.method == http.MethodHead || s.status == http.StatusNoContent || s.status == http.StatusNotModified:
		s.state = stateNone
	case s.chunked && s.major == 1 && s.minor == 0:
		// RFC 9112, section 6.1: its framing is faulty.
		return classError.New("the answer has a transfer encoding, which HTTP/1.0 doesn't have")
	case s.chunked:
		s.state = stateChunkSize
	case s.length > 0:
		s.state, s.left = stateBody, s.length
	case s.length == 0:
		s.state = stateNone
	default:
		s.state = stateBodyToEnd
	}
	return nil
}

// endChunkSize takes the line before a chunk.
func (s *scanner) endChunkSize() error {
	size, _, _ := bytes.Cut(s.line, []byte(";"))
	length, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil {
		return classError.New("the answer has a chunk with an invalid size")
	}
	s.state, s.left = stateChunk, int64(length)
	if length == 0 {
		s.state = stateTrailer
	}
	return nil
}
