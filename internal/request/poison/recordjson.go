package poison

import (
	"encoding/json"
	"time"

	"github.com/nutmegway/nutmegway/internal/base/kind"
)

// recordJSON is the encoding of a Record in the key-value service. Times are in Unix
// milliseconds.
type recordJSON struct {
	Crashes          []crashJSON `json:"crashes"`
	Limit            int         `json:"limit"`
	QuarantinedUntil int64       `json:"quarantined-until,omitempty"`
	Trials           int         `json:"trials,omitempty"`
}

type crashJSON struct {
	At int64  `json:"at"`
	ID uint64 `json:"id"`
}

func encodeRecord(r Record) []byte {
	body := recordJSON{Limit: r.Limit, Trials: r.Trials}
	if !r.QuarantinedUntil.IsZero() {
		body.QuarantinedUntil = r.QuarantinedUntil.UnixMilli()
	}
	for _, crash := range r.Crashes {
		body.Crashes = append(body.Crashes, crashJSON{At: crash.At.UnixMilli(), ID: crash.ID})
	}
	data, _ := json.Marshal(body) // The encoding of numbers never fails.
	return data
}

func decodeRecord(fingerprint uint64, data []byte) (Record, error) {
	var body recordJSON
	if err := json.Unmarshal(data, &body); err != nil {
		return Record{}, kind.Wrap(kind.Internal, err)
	}
	record := Record{Fingerprint: fingerprint, Limit: body.Limit, Trials: body.Trials}
	if body.QuarantinedUntil != 0 {
		record.QuarantinedUntil = time.UnixMilli(body.QuarantinedUntil)
	}
	for _, crash := range body.Crashes {
		record.Crashes = append(record.Crashes, Crash{At: time.UnixMilli(crash.At), ID: crash.ID})
	}
	return record, nil
}
