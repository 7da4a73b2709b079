package owner

import (
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/request/admission"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	"github.com/nutmegway/nutmegway/internal/request/owner/ownerpb"
)

func spanAttributes(a Attempt) trace.SpanStartEventOption {
	return trace.WithAttributes(
		attribute.String("attempt-id", a.Call.Request.ID),
		attribute.String("class", string(a.Call.Class)),
		attribute.String("server", a.Server),
		attribute.String("service", a.Call.Service))
}

func encodeAttempt(a Attempt) *ownerpb.RunRequest {
	request := &ownerpb.RunRequest{
		Alone: a.Isolated, Class: string(a.Call.Class), ExpectedTokens: int32(a.Call.ExpectedTokens),
		Fingerprint: a.Fingerprint, Held: a.HoldsPermit,
		MaxTokens: int32(a.Call.Request.MaxTokens), MinVersion: a.Call.MinVersion, Model: a.Call.Request.Model,
		Prompt: a.Call.Request.Prompt, Repeat: a.Retry, RequestId: a.Call.Request.ID, ResumeText: a.Call.Request.ResumeText,
		ResumeTokens: int32(a.Call.Request.ResumeTokens), Seed: a.Call.Request.Seed, ServerId: a.Server,
		Service: a.Call.Service, Share: a.Call.Share, Team: a.Call.Team,
	}
	if !a.Call.Deadline.IsZero() {
		request.DeadlineUnixNano = a.Call.Deadline.UnixNano()
	}
	return request
}

func decodeAttempt(request *ownerpb.RunRequest) Attempt {
	a := Attempt{
		Isolated: request.GetAlone(), Fingerprint: request.GetFingerprint(), HoldsPermit: request.GetHeld(), Retry: request.GetRepeat(), Server: request.GetServerId(),
		Call: dispatch.Call{
			Class: dispatch.Class(request.GetClass()), ExpectedTokens: int(request.GetExpectedTokens()),
			MinVersion: request.GetMinVersion(), Service: request.GetService(), Share: request.GetShare(), Team: request.GetTeam(),
			Request: engine.Request{
				ID: request.GetRequestId(), MaxTokens: int(request.GetMaxTokens()), Model: request.GetModel(),
				Prompt: request.GetPrompt(), ResumeText: request.GetResumeText(), ResumeTokens: int(request.GetResumeTokens()),
				Seed: request.GetSeed(),
			},
		},
	}
	if n := request.GetDeadlineUnixNano(); n != 0 {
		a.Call.Deadline = time.Unix(0, n)
	}
	return a
}

func encodeChunk(c dispatch.Chunk) *ownerpb.Chunk {
	return &ownerpb.Chunk{
		CachedTokens: int32(c.CachedTokens), FinishReason: c.FinishReason, Index: int32(c.Index),
		RequestId: c.ID, Text: c.Text, Tokens: int32(c.Tokens), Version: c.Version,
	}
}

func decodeChunk(c *ownerpb.Chunk, server string) dispatch.Chunk {
	return dispatch.Chunk{Server: server, Chunk: engine.Chunk{
		CachedTokens: int(c.GetCachedTokens()), FinishReason: c.GetFinishReason(), ID: c.GetRequestId(),
		Index: int(c.GetIndex()), Text: c.GetText(), Tokens: int(c.GetTokens()), Version: c.GetVersion(),
	}}
}

func encodeRefusal(err error) *ownerpb.Refusal {
	e := kind.Of(err)
	return &ownerpb.Refusal{Kind: string(e.Kind), Message: e.Message, Ran: string(e.Ran), RetryAfterNanos: int64(e.RetryAfter)}
}

func decodeRefusal(r *ownerpb.Refusal) error {
	return &kind.Error{
		Kind: kind.Kind(r.GetKind()), Message: r.GetMessage(), Ran: kind.Ran(r.GetRan()),
		RetryAfter: time.Duration(r.GetRetryAfterNanos()),
	}
}

func encodeSummary(s Summary) *ownerpb.Summary {
	return &ownerpb.Summary{
		Down: s.Down, InFlight: int32(s.InFlight), Limit: int32(s.Limit), Queued: int32(s.Queued), Recent: s.StartRate,
		ServerId: s.Server, TokensPerSecond: s.TokensPerSecond, Version: s.Version, WaitNanos: int64(s.Wait),
	}
}

func decodeSummary(s *ownerpb.Summary) Summary {
	return Summary{
		At: time.Now(), Down: s.GetDown(), StartRate: s.GetRecent(), Server: s.GetServerId(), Version: s.GetVersion(),
		Summary: admission.Summary{
			InFlight: int(s.GetInFlight()), Limit: int(s.GetLimit()), Queued: int(s.GetQueued()),
			TokensPerSecond: s.GetTokensPerSecond(), Wait: time.Duration(s.GetWaitNanos()),
		},
	}
}
