package plainproxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copyBufferBytes is the size of the buffer through which a body is copied.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeResponse streams a response to the caller. After an error the caller's connection must
// be closed, so that the caller doesn't take the response for complete.
func writeResponse(w http.ResponseWriter, response *http.Response) error {
	writeHeader(w, response.Header, response.StatusCode)
	if err := copyBody(w, response.Body, response.ContentLength < 0); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}

func writeHeader(w http.ResponseWriter, header http.Header, status int) {
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(status)
}

// copyBody copies a body to the caller. If flush is true, it sends each part at once.
// This is for bodies of unknown length.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buffer, ok := copyBuffers.Get().(*[copyBufferBytes]byte)
	if !ok {
		buffer = new([copyBufferBytes]byte)
	}
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if flush {
				_ = controller.Flush() // If the caller has disconnected, the next write fails.
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
