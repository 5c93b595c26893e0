package provider

import (
	"context"
	"io"
)

// progressKey is the context key of the progress function.
type progressKey struct{}

// WithProgress returns a context whose calls report the bytes of a response as they arrive, so
// that a caller can distinguish a slow response from an unresponsive server.
func WithProgress(ctx context.Context, report func(bytes int)) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// Progress returns the function to which adapters report each part of a response that they read.
// It is never nil.
func Progress(ctx context.Context) func(bytes int) {
	if report, ok := ctx.Value(progressKey{}).(func(int)); ok {
		return report
	}
	return func(int) {}
}

// ReadAll reads at most limit bytes of a response and reports progress. On an error it also
// returns the bytes read so far.
func ReadAll(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(reportingReader{body, Progress(ctx)}, limit))
}

// reportingReader reports the bytes that are read through it.
type reportingReader struct {
	io.Reader
	report func(bytes int)
}

// Read implements io.Reader.
func (r reportingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.report(n)
	}
	return n, err
}
