package engine

import "strings"

// The paths of an engine's HTTP API.
const (
	PathCache           = "/v1/cache/"
	PathCacheEvents     = "/v1/cache-events"
	PathCancel          = "/v1/cancel"
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
	PathLoad            = "/v1/load"
	PathOrders          = "/v1/orders"
	PathStatus          = "/v1/status"
)

// StreamDone is the data of the event that ends a complete stream.
const StreamDone = "[DONE]"

// Message is one turn of a chat.
type Message struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// CompletionRequest is the body of a completions or chat-completions request. Fields in
// snake case are those that inference servers commonly offer; fields in kebab case are
// extensions.
type CompletionRequest struct {
	MaxTokens    int       `json:"max_tokens,omitempty"`
	Messages     []Message `json:"messages,omitempty"`
	Model        string    `json:"model"`
	Prompt       string    `json:"prompt,omitempty"`
	RequestID    string    `json:"request-id,omitempty"`
	ResumeText   string    `json:"resume-text,omitempty"`
	ResumeTokens int       `json:"resume-tokens,omitempty"`
	Seed         int64     `json:"seed,omitempty"`
	Stream       bool      `json:"stream,omitempty"`
}

// PromptText returns the prompt, or the chat messages joined to one prompt.
func (r CompletionRequest) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// Completion is a complete answer or one event of a stream.
type Completion struct {
	Choices   []Choice  `json:"choices"`
	Extension Extension `json:"nutmegway"`
	ID        string    `json:"id"`
	Model     string    `json:"model"`
	Object    string    `json:"object"`
	Usage     *Usage    `json:"usage,omitempty"`
}

// Choice holds the text of an answer: Text in completions, Message in a complete chat
// answer, Delta in a streamed chat answer.
type Choice struct {
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text"`
}

// Usage holds the token counts of a complete answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptTokens     int `json:"prompt_tokens"`
}

// Extension holds the fields that engines add to the common completions API.
type Extension struct {
	CachedTokens int    `json:"cached-tokens,omitempty"`
	Index        int    `json:"index"`
	RequestID    string `json:"request-id"`
	// Segments list the weight versions that generated a complete answer. Events of a
	// stream have none.
	Segments []Segment `json:"segments,omitempty"`
	Tokens   int       `json:"tokens"`
	Version  int64     `json:"version"`
}

// Segment is a number of consecutive tokens from one weight version.
type Segment struct {
	Tokens  int   `json:"tokens"`
	Version int64 `json:"version"`
}

// AddSegment appends tokens of version to segments. It extends the last segment if that
// has the same version, and returns the result.
func AddSegment(segments []Segment, version int64, tokens int) []Segment {
	if tokens == 0 {
		return segments
	}
	if last := len(segments) - 1; last >= 0 && segments[last].Version == version {
		segments[last].Tokens += tokens
		return segments
	}
	return append(segments, Segment{Tokens: tokens, Version: version})
}

// Event returns the chunk as one event of a completions stream.
func (c Chunk) Event(model string) Completion {
	return Completion{
		Choices: []Choice{{FinishReason: c.FinishReason, Text: c.Text}},
		Extension: Extension{
			CachedTokens: c.CachedTokens, Index: c.Index, RequestID: c.ID, Tokens: c.Tokens, Version: c.Version,
		},
		ID: c.ID, Model: model, Object: "text_completion",
	}
}

// ChatEvent returns the chunk as one event of a chat-completions stream.
func (c Chunk) ChatEvent(model string) Completion {
	event := c.Event(model)
	event.Object = "chat.completion.chunk"
	event.Choices[0].Delta = &Message{Content: c.Text, Role: "assistant"}
	event.Choices[0].Text = ""
	return event
}

// Chunk returns the chunk that the event carries.
func (c Completion) Chunk() Chunk {
	chunk := Chunk{
		CachedTokens: c.Extension.CachedTokens, ID: c.Extension.RequestID, Index: c.Extension.Index,
		Tokens: c.Extension.Tokens, Version: c.Extension.Version,
	}
	if len(c.Choices) == 0 {
		return chunk
	}
	choice := c.Choices[0]
	chunk.FinishReason = choice.FinishReason
	chunk.Text = choice.Text
	if choice.Delta != nil {
		chunk.Text = choice.Delta.Content
	}
	if choice.Message != nil {
		chunk.Text = choice.Message.Content
	}
	return chunk
}

// CancelRequest is the body of a request to PathCancel. RequestID is that of the
// generation to cancel.
type CancelRequest struct {
	RequestID string `json:"request-id"`
}
