package stream

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/nutmegway/nutmegway/internal/rollout/sample"
)

var classError = errs.Class("stream")

// Prefix is the prefix of the keys of all streams.
const Prefix = "nutmegway/rollouts/streams/"

// Name identifies the stream of a trainer of a service.
type Name struct {
	Service string
	Trainer string
}

// String returns the service and the trainer, joined by a slash.
func (n Name) String() string { return n.Service + "/" + n.Trainer }

// prefix returns the prefix of the stream's keys.
func (n Name) prefix() string { return Prefix + n.Service + "/" + n.Trainer + "/" }

// headRecord is the value of the head key, which every commit changes. Its
// transaction id shows whether a commit whose reply was lost took effect.
type headRecord struct {
	// Acked is the highest cursor of the trainer.
	Acked int64 `json:"acked"`
	// Base is the first position that is not trimmed.
	Base int64 `json:"base"`
	// Next is the first position that is not committed.
	Next int64 `json:"next"`
	// Orders is the number of the next order record.
	Orders int64 `json:"orders"`
	// Txn is the id of the transaction that wrote the record.
	Txn string `json:"txn"`
	// Voids is the number of the next void record.
	Voids int64 `json:"voids"`
}

// slot describes one position of a segment record.
type slot struct {
	// Digest is the hash of the position's content.
	Digest uint64 `json:"d"`
	Group  string `json:"g"`
	Index  int    `json:"i"`
	// Reason is set if the position was void when it was committed.
	Reason string `json:"r,omitempty"`
	// Tokens is the length of the sample, from which a later owner predicts the
	// lengths of others.
	Tokens int `json:"t"`
}

// segmentRecord commits a range of positions that begins at From.
type segmentRecord struct {
	From  int64  `json:"from"`
	Slots []slot `json:"slots"`
}

// voidRecord marks committed positions void. This is permanent.
type voidRecord struct {
	Positions []int64 `json:"positions"`
	Reason    string  `json:"reason"`
	// Replaced is set if the samples are generated again.
	Replaced bool `json:"replaced"`
}

// orderRecord holds accepted groups and cancellations.
type orderRecord struct {
	Cancelled []string `json:"cancelled,omitempty"`
	// Finished holds the ids of finished groups without a retained position.
	// Nothing else of their orders is stored.
	Finished []string       `json:"finished,omitempty"`
	Groups   []sample.Group `json:"groups,omitempty"`
	// Trimmed maps the id of a group to the indices of its samples whose
	// positions were trimmed.
	Trimmed map[string][]int `json:"trimmed,omitempty"`
}

func (n Name) headKey() string { return n.prefix() + "head" }

func (n Name) orderKey(number int64) string {
	return fmt.Sprintf("%sorders/%020d", n.prefix(), number)
}

func (n Name) segmentKey(from int64) string {
	return fmt.Sprintf("%ssegments/%020d", n.prefix(), from)
}

func (n Name) voidKey(number int64) string {
	return fmt.Sprintf("%svoids/%020d", n.prefix(), number)
}

// recordKind returns the path element after the stream's prefix in key, which
// names the type of the record.
func (n Name) recordKind(key string) string {
	recordKind, _, _ := strings.Cut(strings.TrimPrefix(key, n.prefix()), "/")
	return recordKind
}

// recordNumber returns the number at the end of key, or -1 if there is none.
func (n Name) recordNumber(key string) int64 {
	number, err := strconv.ParseInt(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil {
		return -1
	}
	return number
}

// pack encodes record as gzip-compressed JSON.
func pack(record any) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(record); err != nil {
		return nil, classError.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, classError.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// unpack decodes a value that pack has encoded into record.
func unpack(value []byte, record any) error {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return classError.Wrap(err)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		return classError.Wrap(err)
	}
	return classError.Wrap(json.Unmarshal(data, record))
}
