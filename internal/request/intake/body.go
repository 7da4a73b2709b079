package intake

import (
	"errors"
	"io"
)

const (
	// firstBytes is the size of the first buffer for a body, and wholeBytes the size from which
	// on the next one has room for all that may come.
	firstBytes = 4 << 10
	wholeBytes = 4 << 20
	// growth is the factor from one buffer to the next.
	growth = 4
)

// ReadAll reads a body of at most limit bytes and one more. declared is the length that its
// sender names, or negative. The buffers are taken from the connection's budget, of which the
// last one stays taken.
func ReadAll(c *Conn, body io.Reader, declared, limit int64) ([]byte, error) {
	c.Receive()
	data, err := readAll(c, body, declared, limit)
	if ended := c.Received(); ended != nil {
		return nil, ended
	}
	return data, err
}

func readAll(c *Conn, body io.Reader, declared, limit int64) ([]byte, error) {
	most := limit + 1
	if declared >= 0 {
		most = min(most, declared)
	}
	var data []byte
	for {
		if int64(len(data)) == most {
			return data, drain(body, declared)
		}
		if len(data) == cap(data) {
			size := min(max(firstBytes, growth*int64(cap(data))), most)
			if int64(cap(data)) >= wholeBytes {
				size = most
			}
			if err := c.Take(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			c.Give(int64(cap(data)))
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// drain reads the end of a body whose bytes have all come.
func drain(body io.Reader, declared int64) error {
	if declared < 0 {
		return nil
	}
	if _, err := body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
