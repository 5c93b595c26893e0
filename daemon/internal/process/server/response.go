package server

import (
	"io"
	"net/http"
	"sync/atomic"
)

// responseWriter adds "Connection: close" to the head of a response if its connection closes.
type responseWriter struct {
	http.ResponseWriter
	closes *atomic.Bool
	// last is set if no request can follow on the connection.
	last bool
	// headWritten is set once the final head was written.
	headWritten bool
}

func (w *responseWriter) WriteHeader(status int) {
	w.prepareHead(status)
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(body []byte) (int, error) {
	w.prepareHead(http.StatusOK)
	return w.ResponseWriter.Write(body)
}

// ReadFrom is for io.Copy, which otherwise allocates a buffer.
func (w *responseWriter) ReadFrom(body io.Reader) (int64, error) {
	w.prepareHead(http.StatusOK)
	return io.Copy(w.ResponseWriter, body)
}

// Unwrap returns the underlying writer to http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush is for callers that look for http.Flusher.
func (w *responseWriter) Flush() {
	w.prepareHead(http.StatusOK)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) prepareHead(status int) {
	if w.headWritten || status < http.StatusOK {
		return // written, or an interim response, which is no head
	}
	w.headWritten = true
	if w.last || w.closes.Load() {
		w.Header().Set("Connection", "close")
	}
}
