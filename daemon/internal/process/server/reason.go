package server

import (
	"fmt"
	"net/http"
)

// Reason is why a server closed the connection of a client that did not keep to the limits, or that had to make room
// for others.
type Reason string

// Values of Reason.
const (
	// HeadTooLarge means that the head of a request exceeded the limit.
	HeadTooLarge Reason = "head-too-large"
	// EmptyLines means that empty lines without a request arrived.
	EmptyLines Reason = "empty-lines"
	// HeadTimeout means that the head of a request did not arrive in time.
	HeadTimeout Reason = "head-timeout"
	// HeadMemory means that the heads of all connections took the memory that they may take.
	HeadMemory Reason = "head-memory"
	// BodyStalled means that a body stopped arriving.
	BodyStalled Reason = "body-stalled"
	// ResponseNotRead means that the client stopped reading its response.
	ResponseNotRead Reason = "response-not-read"
	// TooManyConnections means that a connection was closed to make room for a new one, or was itself the new one.
	TooManyConnections Reason = "too-many-connections"
)

// retryAfterHeadMemory is the Retry-After of a request that was refused for want of memory, in seconds. Heads are
// short-lived.
const retryAfterHeadMemory = "1"

// refusal returns the response to a request that was refused before it was parsed, "" if there is none.
func (r Reason) refusal() string {
	switch r {
	case HeadTooLarge:
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "")
	case EmptyLines:
		return refusal(http.StatusBadRequest, "")
	case HeadTimeout:
		return refusal(http.StatusRequestTimeout, "")
	case HeadMemory:
		return refusal(http.StatusServiceUnavailable, "Retry-After: "+retryAfterHeadMemory+"\r\n")
	default:
		return ""
	}
}

func refusal(status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), header)
}
