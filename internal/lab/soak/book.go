package soak

import (
	"sync"
	"time"

	"github.com/nutmegway/nutmegway/internal/lab/chaos"
	"github.com/nutmegway/nutmegway/platform/platformtest"
)

// The disturbed beside single hosts.
const (
	// everyone stands for the store or all hosts.
	everyone = -1
	// servers are the backend servers and the links to them.
	servers = -2
)

// disturbance is a time in which a host, or what all of them need, was troubled.
type disturbance struct {
	action chaos.Action
	from   time.Time
	// host is its number, or everyone.
	host int
	// until is zero while it lasts.
	until time.Time
}

// touches reports whether it befell the host in a span; for everyone, whether it
// befell any host, the store or the servers.
func (d disturbance) touches(host int, from, to time.Time) bool {
	return (d.host == host || d.host == everyone || host == everyone) &&
		d.from.Before(to) && (d.until.IsZero() || d.until.After(from))
}

// request is one request of a caller, sent once, and its answer.
type request struct {
	answer platformtest.Response
	// body, method and target are what was sent.
	body, method, target string
	// broken is a connection that ended without a whole answer.
	broken bool
	ended  time.Time
	host   int
	id     string
	repeat platformtest.Repeat
	sent   time.Time
}

// submission is a batch and what its trainer knows of it.
type submission struct {
	// accepted is when the 202 came; zero if none did.
	accepted time.Time
	batch    platformtest.Batch
	// ended is when an end was confirmed; zero if none was.
	ended time.Time
	// ending is when an end was sent first; zero if none was.
	ending time.Time
	// refused is true while every attempt was refused as not run.
	refused bool
}

// reading is one answer to a reader of a batch.
type reading struct {
	batch string
	// final is a reading after all troubles have ended.
	final  bool
	host   int
	page   platformtest.Page
	sent   time.Time
	status int
}

// bodyReading is one answer to a reader of an item's body after the troubles.
type bodyReading struct {
	batch, item, body string
	status            int
}

// edit is a configuration that the store has confirmed.
type edit struct {
	at      time.Time
	version int64
}

// probing is a look at the configuration in force on a host.
type probing struct {
	host int
	sent time.Time
	// started is the start of the process that answered.
	started time.Time
	// version is the newest whose route the host has.
	version int64
}

// stop is a planned end of a host's process.
type stop struct {
	at, ended time.Time
	host      int
}

// records are all that the judgement rests on.
type records struct {
	bodies       []bodyReading
	disturbances []*disturbance
	edits        []edit
	orders       []platformtest.Order
	probings     []probing
	readings     []reading
	requests     []request
	runs         []platformtest.Run
	stops        []stop
	submissions  map[string]*submission
}

// book keeps the records, outside the product.
type book struct {
	mu sync.Mutex
	records
}

func (l *book) add(change func(*records)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.records)
}

// disturb notes a disturbance and returns what ends it.
func (l *book) disturb(action chaos.Action, host int) (end func()) {
	d := &disturbance{action: action, from: time.Now(), host: host}
	l.add(func(r *records) { r.disturbances = append(r.disturbances, d) })
	return func() { l.add(func(*records) { d.until = time.Now() }) }
}
