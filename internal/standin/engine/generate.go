package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	backend "github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/base/refusal"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

type weightVersion = weightstore.Version

// minStep is the shortest wait between chunks; faster tokens share a chunk.
const minStep = time.Millisecond

// generation is one request that the engine runs.
type generation struct {
	cancel  context.CancelFunc
	chat    bool
	key     uint64
	length  int
	next    int
	request backend.CompletionRequest
	run     *Run
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request backend.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refusal.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	if request.RequestID == "" {
		request.RequestID = r.Header.Get("X-Request-Id")
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g := newGeneration(request, cancel)
	g.chat = r.URL.Path == backend.PathChatCompletions
	g.run = e.ledger.begin(request)
	e.register(g)
	leave, err := e.admit(ctx)
	if err != nil {
		e.end(ctx, g, false)
		panic(http.ErrAbortHandler)
	}
	defer leave()
	e.run(ctx, w, g)
}

func newGeneration(request backend.CompletionRequest, cancel context.CancelFunc) *generation {
	prompt := request.PromptText()
	length := answerLength(prompt, request.Seed, request.MaxTokens)
	key := answerKey(prompt, request.Seed)
	// A wrong resumption leads to another answer, as it does on an engine.
	var before strings.Builder
	for i := range min(request.ResumeTokens, length) {
		before.WriteString(token(key, i))
	}
	if before.String() != request.ResumeText {
		key = answerKey(prompt+request.ResumeText, request.Seed)
	}
	return &generation{cancel: cancel, key: key, length: length, next: request.ResumeTokens, request: request}
}

func (e *Engine) register(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[g.request.RequestID] = g
}

// admit waits for a slot in the order of arrival and returns the function that
// gives it back.
func (e *Engine) admit(ctx context.Context) (leave func(), err error) {
	e.mu.Lock()
	slots := e.slots
	e.mu.Unlock()
	slots.queued.Add(1)
	defer slots.queued.Add(-1)
	if err := slots.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	slots.running.Add(1)
	return func() {
		slots.running.Add(-1)
		slots.Release(1)
	}, nil
}

func (e *Engine) run(ctx context.Context, w http.ResponseWriter, g *generation) {
	prompt := g.request.PromptText()
	if strings.Contains(prompt, e.PoisonMarker) {
		e.Crash()
	}
	hits := e.cache.use(backend.PrefixBlocks(prompt), e)
	cached := hits * backend.BlockTokens
	uncached := backend.PromptTokens(prompt) - cached
	fault, faulty := e.faults.take(FaultCrash, FaultCrossed, FaultHang, FaultLoseReply, FaultReset, FaultSlow)
	if !faulty {
		fault.AfterTokens = -1
	}
	writer := &answerWriter{engine: e, w: w, generation: g, mute: fault.Kind == FaultLoseReply}
	err := sleep(ctx, time.Duration(float64(uncached)/e.PrefillPerSecond*float64(time.Second)))
	for err == nil && g.next < g.length {
		if fault.AfterTokens >= 0 && g.next-g.request.ResumeTokens >= fault.AfterTokens {
			e.fail(ctx, w, g, &fault)
		}
		var chunk backend.Chunk
		if chunk, err = e.step(ctx, g, fault); err != nil {
			break
		}
		chunk.CachedTokens, cached = cached, 0
		writer.write(chunk)
	}
	e.end(ctx, g, err == nil)
	if err != nil || writer.mute {
		panic(http.ErrAbortHandler)
	}
	writer.finish()
}

// step produces the tokens of the next chunk.
func (e *Engine) step(ctx context.Context, g *generation, fault Fault) (backend.Chunk, error) {
	running := e.runningNow()
	perToken := time.Duration(float64(time.Second) / e.TokensPerSecond *
		(1 + e.BatchSlowdown*float64(max(running-1, 0))))
	if fault.Kind == FaultSlow {
		perToken *= 10
	}
	count := min(max(1, int(minStep/max(perToken, 1))), g.length-g.next)
	if err := sleep(ctx, perToken*time.Duration(count)); err != nil {
		return backend.Chunk{}, err
	}
	if err := e.waitReady(ctx); err != nil {
		return backend.Chunk{}, err
	}
	return e.produce(g, count), nil
}

func (e *Engine) runningNow() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slots.running.Load()
}

// waitReady holds the tokens back while the engine hangs or pauses for a swap.
func (e *Engine) waitReady(ctx context.Context) error {
	if err := e.waitHung(ctx); err != nil {
		return err
	}
	for e.PauseOnSwap && e.Status().Loading != 0 {
		if err := sleep(ctx, minStep); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// produce takes the version and writes the truth under one lock, so that a
// swap falls between two chunks.
func (e *Engine) produce(g *generation, count int) backend.Chunk {
	var text strings.Builder
	for i := range count {
		text.WriteString(token(g.key, g.next+i))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := backend.Chunk{ID: g.request.RequestID, Index: g.next, Text: text.String(), Tokens: count, Version: e.status.Version}
	g.next += count
	if g.next == g.length {
		chunk.FinishReason = "stop"
		if g.length == g.request.MaxTokens {
			chunk.FinishReason = "length"
		}
	}
	e.ledger.update(func() { g.run.Segments = backend.AddSegment(g.run.Segments, chunk.Version, count) })
	return chunk
}

func (e *Engine) end(ctx context.Context, g *generation, finished bool) {
	crashed := errors.Is(context.Cause(ctx), errCrashed)
	e.ledger.update(func() {
		g.run.Finished = finished
		g.run.Crashed = !finished && crashed
		g.run.Cancelled = !finished && !crashed
	})
}

func (e *Engine) fail(ctx context.Context, w http.ResponseWriter, g *generation, fault *Fault) {
	fault.AfterTokens = -1
	switch fault.Kind {
	case FaultCrash:
		e.Crash()
		<-ctx.Done()
	case FaultCrossed:
		g.request.RequestID = "crossed-" + g.request.RequestID
		g.key++
	case FaultHang:
		<-ctx.Done()
	case FaultReset:
		reset(w)
		g.cancel()
	}
}

// reset ends the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close resets the connection then.
	}
	_ = conn.Close() // The connection is given up.
}

// answerWriter writes chunks as events, or gathers them into a whole answer.
type answerWriter struct {
	engine     *Engine
	generation *generation
	mute       bool
	segments   []backend.Segment
	started    bool
	text       strings.Builder
	w          http.ResponseWriter
	whole      backend.Chunk
}

func (a *answerWriter) write(chunk backend.Chunk) {
	switch {
	case a.mute:
	case a.generation.request.Stream:
		event := chunk.Event(a.generation.request.Model)
		if a.generation.chat {
			event = chunk.ChatEvent(a.generation.request.Model)
		}
		data, err := json.Marshal(event)
		if err == nil {
			a.event(string(data))
		}
	default:
		a.segments = backend.AddSegment(a.segments, chunk.Version, chunk.Tokens)
		a.text.WriteString(chunk.Text)
		a.whole.CachedTokens += chunk.CachedTokens
		a.whole.FinishReason, a.whole.ID, a.whole.Version = chunk.FinishReason, chunk.ID, chunk.Version
		a.whole.Tokens += chunk.Tokens
	}
}

func (a *answerWriter) event(data string) {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("X-Request-Id", a.generation.request.RequestID)
	}
	message := &sse.Message{}
	message.AppendData(data)
	if _, err := message.WriteTo(a.w); err != nil {
		a.generation.cancel()
		return
	}
	_ = http.NewResponseController(a.w).Flush() // A lost connection ends the context.
}

func (a *answerWriter) finish() {
	if a.generation.request.Stream {
		a.event(backend.StreamDone)
		return
	}
	request := a.generation.request
	a.whole.Index = request.ResumeTokens
	a.whole.Text = a.text.String()
	answer := a.whole.Event(request.Model)
	answer.Extension.Segments = a.segments
	answer.Usage = &backend.Usage{CompletionTokens: a.whole.Tokens, PromptTokens: backend.PromptTokens(request.PromptText())}
	if a.generation.chat {
		answer.Object = "chat.completion"
		answer.Choices[0].Message = &backend.Message{Content: a.whole.Text, Role: "assistant"}
		answer.Choices[0].Text = ""
	}
	a.w.Header().Set("X-Request-Id", request.RequestID)
	writeJSON(a.w, answer)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var request backend.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refusal.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.streams[request.RequestID]; ok {
		g.cancel()
	}
}

// kvCache is an exported KV cache.
type kvCache struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.streams[r.PathValue("id")]
	if !ok {
		refusal.Write(w, kind.New(kind.NotFound, "no generation has the id"))
		return
	}
	writeJSON(w, kvCache{Prompt: g.request.PromptText(), Tokens: g.next})
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var imported kvCache
	if err := json.NewDecoder(r.Body).Decode(&imported); err != nil {
		refusal.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	e.cache.use(backend.PrefixBlocks(imported.Prompt), e)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refusal.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	writeJSON(w, e.cache.after(after))
}
