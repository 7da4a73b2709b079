package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const eventStreamType = "text/event-stream"

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
}

// errAnswerInterrupted is the error of an answer that ended before it was complete.
var errAnswerInterrupted = errors.New("the backend server interrupted its answer")

// writeAnswer writes an answer to w as the server sent it. After an error the caller's
// connection must be closed, so that the caller does not mistake a partial answer for a
// complete one.
func writeAnswer(w http.ResponseWriter, a answer) error {
	header := w.Header()
	for name, values := range a.response.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from setting a type that it has guessed.
		header["Content-Type"] = nil
	}
	if !a.hasMore && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.Itoa(len(a.head)))
	}
	w.WriteHeader(a.response.StatusCode)
	if _, err := w.Write(a.head); err != nil || !a.hasMore {
		return err
	}
	endsWithConnection := a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
	if endsWithConnection && isEventStream(a.response) {
		return copyUnframedStream(w, a.response.Body)
	}
	return copyFlushing(w, a.response.Body)
}

// copyUnframedStream copies an event stream that ends with its connection. A stream that
// ends within an event, or has none, is interrupted.
func copyUnframedStream(w http.ResponseWriter, body io.Reader) error {
	tail := &tailReader{Reader: body}
	if err := copyFlushing(w, tail); err != nil {
		return err
	}
	if !tail.endsEvent() {
		return errAnswerInterrupted
	}
	return nil
}

// tailReader keeps the last bytes that were read.
type tailReader struct {
	io.Reader

	tail []byte
}

// eventEndBytes is the number of bytes that show whether an event has ended.
const eventEndBytes = 4

// Read implements io.Reader.
func (t *tailReader) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	t.tail = append(t.tail, p[max(n-eventEndBytes, 0):n]...)
	t.tail = t.tail[max(len(t.tail)-eventEndBytes, 0):]
	return n, err
}

// endsEvent reports whether the bytes read end with an empty line, which ends an event.
func (t *tailReader) endsEvent() bool {
	return bytes.HasSuffix(t.tail, []byte("\n\n")) || bytes.HasSuffix(t.tail, []byte("\r\n\r\n"))
}

// copyFlushing copies body to w and flushes after each read, so that the caller gets
// each part as it arrives.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Join(errAnswerInterrupted, err)
		}
	}
}
