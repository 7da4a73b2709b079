package httperror

// The headers that requests and responses share.
const (
	// HeaderDeadline carries the time until which the caller waits, in RFC 3339 format
	// with nanoseconds.
	HeaderDeadline = "X-Deadline"
	// HeaderRequestID carries the identifier of a request in responses, logs and
	// traces.
	HeaderRequestID = "X-Request-Id"
)
