// Package engine is a client for model engines. It uses the completions API that
// inference servers commonly offer, with extensions for load reports, cache events and
// orders to load models or change roles.
package engine

import (
	"context"
	"time"
)

// Request asks for one generation.
type Request struct {
	// ID is echoed by the engine in each chunk. A chunk with another id belongs to
	// another request and fails the stream.
	ID string `json:"request-id"`
	// MaxTokens limits the length of the answer in tokens.
	MaxTokens int    `json:"max-tokens"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	// ResumeText is the part of the answer that another engine has already generated.
	ResumeText string `json:"resume-text,omitempty"`
	// ResumeTokens is the number of tokens of ResumeText.
	ResumeTokens int `json:"resume-tokens,omitempty"`
	// Seed is the sampling seed; the same prompt, seed and version give the same
	// tokens.
	Seed int64 `json:"seed"`
}

// Chunk is a part of the answer, of one or more tokens.
type Chunk struct {
	// CachedTokens is the number of prompt tokens found in the prefix cache. Only the
	// first chunk has it.
	CachedTokens int `json:"cached-tokens,omitempty"`
	// FinishReason is "stop" or "length" in the last chunk and empty in all others.
	FinishReason string `json:"finish-reason,omitempty"`
	// Index is the position of the first token of the chunk in the answer.
	Index int    `json:"index"`
	ID    string `json:"request-id"`
	Text  string `json:"text"`
	// Tokens is the number of tokens of Text.
	Tokens int `json:"tokens"`
	// Version is the weight version that generated the tokens; zero if the engine did
	// not report it.
	Version int64 `json:"version"`
}

// Stream is a running generation.
type Stream interface {
	// Close cancels the generation unless it has finished.
	Close() error
	// Next returns the next chunk, or io.EOF after the last one. A connection that
	// ends earlier is an error.
	Next() (Chunk, error)
}

// Load is an engine's report of its load. It lags behind the actual load.
type Load struct {
	At time.Time `json:"at"`
	// Queued is the number of requests waiting for a slot.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Slots is the number of requests that the engine runs concurrently.
	Slots   int   `json:"slots"`
	Version int64 `json:"version"`
}

// CacheEvent reports that a prefix was added to or evicted from the engine's cache.
type CacheEvent struct {
	// Prefix is the hash of the prompt prefix, as HashPrefix computes it.
	Prefix uint64 `json:"prefix"`
	// Removed is set if the prefix was evicted.
	Removed bool `json:"removed"`
	// Sequence numbers the engine's events; a gap means that events were lost.
	Sequence int64 `json:"sequence"`
}

// OrderKind is the kind of change that an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderLoadModel   OrderKind = "load-model"
	OrderLoadVersion OrderKind = "load-version"
	OrderSetRole     OrderKind = "set-role"
)

// Order asks an engine to change what it serves.
type Order struct {
	Adapter string `json:"adapter,omitempty"`
	// Deadline is the time after which the engine must not start to carry out the order.
	Deadline time.Time `json:"deadline"`
	// Fence is the fencing token of the sender's lease. Some engines refuse a token
	// below the highest that they have seen; others ignore it.
	Fence   int64     `json:"fence"`
	ID      string    `json:"order-id"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Version int64     `json:"version,omitempty"`
}

// Status is an engine's own report of what it serves.
type Status struct {
	Adapters []string `json:"adapters,omitempty"`
	// Fence is the highest fencing token that the engine has seen; zero on engines that
	// ignore it.
	Fence int64 `json:"fence"`
	// Loading is the weight version being loaded; zero if there is none.
	Loading int64  `json:"loading"`
	Model   string `json:"model"`
	Role    string `json:"role"`
	// StartedAt changes when the engine restarts.
	StartedAt time.Time `json:"started-at"`
	Version   int64     `json:"version"`
}

// Engine is the API of one model engine. Client implements it over HTTP.
type Engine interface {
	// CacheEvents returns the cache events with sequence numbers above after.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Cancel cancels the generation with the request id.
	Cancel(ctx context.Context, requestID string) error
	// ExportCache returns the KV cache of a running or finished generation.
	ExportCache(ctx context.Context, requestID string) ([]byte, error)
	// Generate starts a generation. An error with kind.RanNo means that the engine did
	// not run the request.
	Generate(ctx context.Context, request Request) (Stream, error)
	// ImportCache uploads a KV cache to the engine under the request id.
	ImportCache(ctx context.Context, requestID string, cache []byte) error
	Load(ctx context.Context) (Load, error)
	// Order sends an order and returns once the engine has accepted or refused it.
	Order(ctx context.Context, order Order) error
	Status(ctx context.Context) (Status, error)
}
