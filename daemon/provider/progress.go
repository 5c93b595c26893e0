package provider

import (
	"context"
	"io"
)

// progressKey is the key of a context's report function.
type progressKey struct{}

// WithProgress returns a context whose calls report the bytes of an answer as they
// come, so that a caller can tell an answer that is long under way from silence.
func WithProgress(ctx context.Context, report func(bytes int)) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// Progress returns the function to report bytes to; it is never nil. Adapters call
// it for each part of an answer that they read.
func Progress(ctx context.Context) func(bytes int) {
	if report, ok := ctx.Value(progressKey{}).(func(int)); ok {
		return report
	}
	return func(int) {}
}

// ReadAll reads an answer of at most some bytes and reports its parts as they come.
// What had come is returned beside an error.
func ReadAll(ctx context.Context, answer io.Reader, most int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(reportingReader{answer, Progress(ctx)}, most))
}

// reportingReader reports what is read through it.
type reportingReader struct {
	io.Reader
	report func(bytes int)
}

// Read reads and reports.
func (r reportingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.report(n)
	}
	return n, err
}
