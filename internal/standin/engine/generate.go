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
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/external/weightstore"
)

type weightVersion = weightstore.Version

// minChunkInterval is the shortest interval between chunks. Tokens that are generated
// faster share a chunk.
const minChunkInterval = time.Millisecond

// generation is the state of one request in the engine.
type generation struct {
	cancel    context.CancelFunc
	chat      bool
	key       uint64
	length    int
	nextToken int
	// processCtx spans the lifetime of the simulated process that runs the request.
	processCtx context.Context //nolint:containedctx // It outlives the request's context.
	request    backend.CompletionRequest
	run        *Run
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request backend.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		httperror.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	if request.RequestID == "" {
		request.RequestID = r.Header.Get("X-Request-Id")
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g := newGeneration(request, cancel)
	g.chat = r.URL.Path == backend.PathChatCompletions
	g.run = e.recorder.startRun(request)
	e.register(g)
	release, err := e.admit(ctx)
	if err != nil {
		e.recordEnd(g, false)
		panic(http.ErrAbortHandler)
	}
	defer release()
	e.generate(ctx, w, g)
}

func newGeneration(request backend.CompletionRequest, cancel context.CancelFunc) *generation {
	prompt := request.PromptText()
	length := completionLength(prompt, request.Seed, request.MaxTokens)
	key := completionKey(prompt, request.Seed)
	// A wrong prefix to resume from leads to a different completion, as on a real engine.
	var prefix strings.Builder
	for i := range min(request.ResumeTokens, length) {
		prefix.WriteString(tokenAt(key, i))
	}
	if prefix.String() != request.ResumeText {
		key = completionKey(prompt+request.ResumeText, request.Seed)
	}
	return &generation{cancel: cancel, key: key, length: length, nextToken: request.ResumeTokens, request: request}
}

func (e *Engine) register(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.processCtx = e.processCtx
	e.generations[g.request.RequestID] = g
}

// admit waits for a slot in order of arrival and returns the function that releases
// it.
func (e *Engine) admit(ctx context.Context) (release func(), err error) {
	e.mu.Lock()
	pool := e.slots
	e.mu.Unlock()
	pool.queued.Add(1)
	defer pool.queued.Add(-1)
	if err := pool.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	pool.running.Add(1)
	return func() {
		pool.running.Add(-1)
		pool.Release(1)
	}, nil
}

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, g *generation) {
	prompt := g.request.PromptText()
	if strings.Contains(prompt, e.PoisonMarker) {
		e.Crash()
	}
	hits := e.cache.lookUpOrAdd(backend.PrefixBlocks(prompt), e)
	cached := hits * backend.BlockTokens
	uncached := backend.PromptTokens(prompt) - cached
	fault, faulty := e.faults.take(FaultCrash, FaultCrossed, FaultHang, FaultLoseReply, FaultReset, FaultSlow)
	if !faulty {
		fault.AfterTokens = -1
	}
	writer := &responseWriter{engine: e, w: w, generation: g, discard: fault.Kind == FaultLoseReply}
	err := sleep(ctx, time.Duration(float64(uncached)/e.PrefillPerSecond*float64(time.Second)))
	for err == nil && g.nextToken < g.length {
		if fault.AfterTokens >= 0 && g.nextToken-g.request.ResumeTokens >= fault.AfterTokens {
			e.applyFault(ctx, w, g, &fault)
		}
		var chunk backend.Chunk
		if chunk, err = e.generateChunk(ctx, g, fault); err != nil {
			break
		}
		chunk.CachedTokens, cached = cached, 0
		writer.write(chunk)
	}
	e.recordEnd(g, err == nil)
	if err != nil || writer.discard {
		panic(http.ErrAbortHandler)
	}
	writer.finish()
}

// generateChunk waits for the time that the next chunk takes and generates its tokens.
func (e *Engine) generateChunk(ctx context.Context, g *generation, fault Fault) (backend.Chunk, error) {
	running := e.runningCount()
	perToken := time.Duration(float64(time.Second) / e.TokensPerSecond *
		(1 + e.BatchSlowdown*float64(max(running-1, 0))))
	if fault.Kind == FaultSlow {
		perToken *= 10
	}
	count := min(max(1, int(minChunkInterval/max(perToken, 1))), g.length-g.nextToken)
	if err := sleep(ctx, perToken*time.Duration(count)); err != nil {
		return backend.Chunk{}, err
	}
	if err := e.waitWhilePaused(ctx); err != nil {
		return backend.Chunk{}, err
	}
	return e.emitTokens(g, count), nil
}

func (e *Engine) runningCount() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slots.running.Load()
}

// waitWhilePaused waits while the engine hangs or, with PauseOnSwap, loads a version.
func (e *Engine) waitWhilePaused(ctx context.Context) error {
	if err := e.waitWhileHung(ctx); err != nil {
		return err
	}
	for e.PauseOnSwap && e.Status().Loading != 0 {
		if err := sleep(ctx, minChunkInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// emitTokens reads the weight version and records the tokens under one lock, so that
// a swap takes effect only between two chunks.
func (e *Engine) emitTokens(g *generation, count int) backend.Chunk {
	var text strings.Builder
	for i := range count {
		text.WriteString(tokenAt(g.key, g.nextToken+i))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := backend.Chunk{ID: g.request.RequestID, Index: g.nextToken, Text: text.String(), Tokens: count, Version: e.status.Version}
	g.nextToken += count
	if g.nextToken == g.length {
		chunk.FinishReason = "stop"
		if g.length == g.request.MaxTokens {
			chunk.FinishReason = "length"
		}
	}
	e.recorder.update(func() { g.run.Segments = backend.AddSegment(g.run.Segments, chunk.Version, count) })
	return chunk
}

// recordEnd records how a run ended. After a crash, the connection of the request may have been
// closed before its context learned of the crash.
func (e *Engine) recordEnd(g *generation, finished bool) {
	crashed := errors.Is(context.Cause(g.processCtx), errCrashed)
	e.recorder.update(func() {
		g.run.Finished = finished
		g.run.Crashed = !finished && crashed
		g.run.Cancelled = !finished && !crashed
	})
}

func (e *Engine) applyFault(ctx context.Context, w http.ResponseWriter, g *generation, fault *Fault) {
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
		_ = tcp.SetLinger(0) // Close then sends a TCP reset.
	}
	_ = conn.Close() // The connection is abandoned.
}

// responseWriter writes chunks as events or, without streaming, collects them into one
// response.
type responseWriter struct {
	engine     *Engine
	generation *generation
	discard    bool
	segments   []backend.Segment
	started    bool
	text       strings.Builder
	w          http.ResponseWriter
	completion backend.Chunk
}

func (rw *responseWriter) write(chunk backend.Chunk) {
	switch {
	case rw.discard:
	case rw.generation.request.Stream:
		event := chunk.Event(rw.generation.request.Model)
		if rw.generation.chat {
			event = chunk.ChatEvent(rw.generation.request.Model)
		}
		data, err := json.Marshal(event)
		if err == nil {
			rw.writeEvent(string(data))
		}
	default:
		rw.segments = backend.AddSegment(rw.segments, chunk.Version, chunk.Tokens)
		rw.text.WriteString(chunk.Text)
		rw.completion.CachedTokens += chunk.CachedTokens
		rw.completion.FinishReason, rw.completion.ID, rw.completion.Version = chunk.FinishReason, chunk.ID, chunk.Version
		rw.completion.Tokens += chunk.Tokens
	}
}

func (rw *responseWriter) writeEvent(data string) {
	if !rw.started {
		rw.started = true
		rw.w.Header().Set("Content-Type", "text/event-stream")
		rw.w.Header().Set("X-Request-Id", rw.generation.request.RequestID)
	}
	message := &sse.Message{}
	message.AppendData(data)
	if _, err := message.WriteTo(rw.w); err != nil {
		rw.generation.cancel()
		return
	}
	_ = http.NewResponseController(rw.w).Flush() // A broken connection cancels the context.
}

func (rw *responseWriter) finish() {
	if rw.generation.request.Stream {
		rw.writeEvent(backend.StreamDone)
		return
	}
	request := rw.generation.request
	rw.completion.Index = request.ResumeTokens
	rw.completion.Text = rw.text.String()
	response := rw.completion.Event(request.Model)
	response.Extension.Segments = rw.segments
	response.Usage = &backend.Usage{CompletionTokens: rw.completion.Tokens, PromptTokens: backend.PromptTokens(request.PromptText())}
	if rw.generation.chat {
		response.Object = "chat.completion"
		response.Choices[0].Message = &backend.Message{Content: rw.completion.Text, Role: "assistant"}
		response.Choices[0].Text = ""
	}
	rw.w.Header().Set("X-Request-Id", request.RequestID)
	writeJSON(rw.w, response)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request backend.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		httperror.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[request.RequestID]; ok {
		g.cancel()
	}
}

// kvCache is an exported KV cache.
type kvCache struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) serveCacheExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.generations[r.PathValue("id")]
	if !ok {
		httperror.Write(w, kind.New(kind.NotFound, "no generation has this id"))
		return
	}
	writeJSON(w, kvCache{Prompt: g.request.PromptText(), Tokens: g.nextToken})
}

func (e *Engine) serveCacheImport(w http.ResponseWriter, r *http.Request) {
	var imported kvCache
	if err := json.NewDecoder(r.Body).Decode(&imported); err != nil {
		httperror.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	e.cache.lookUpOrAdd(backend.PrefixBlocks(imported.Prompt), e)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		httperror.Write(w, kind.Wrap(kind.BadRequest, err))
		return
	}
	writeJSON(w, e.cache.eventsAfter(after))
}
