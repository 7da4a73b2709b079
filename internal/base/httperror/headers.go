package httperror

// The headers that requests and responses share.
const (
	// HeaderDeadline carries the time until which the caller waits, in RFC 3339 format
	// with nanoseconds.
	HeaderDeadline = "X-Deadline"
	// HeaderRequestID carries the id of a request, both in the request and in its
	// response. Logs and traces name the request by this id.
	HeaderRequestID = "X-Request-Id"
)
