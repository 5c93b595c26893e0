package provider

import (
	"context"
	"errors"
	"fmt"
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

// ErrTooLarge means that a response is longer than its limit.
var ErrTooLarge = errors.New("the response is larger than its limit")

// sizeKey is the context key of the size limit.
type sizeKey struct{}

// WithMaxBytes returns a context whose calls accept responses of at most limit bytes; 0 adds no limit.
func WithMaxBytes(ctx context.Context, limit int64) context.Context {
	return context.WithValue(ctx, sizeKey{}, limit)
}

// ReadAll reads a response of at most limit bytes, or of the limit of the context if that is lower, and reports
// progress. On an error, ErrTooLarge for a longer response, it also returns the bytes read so far.
func ReadAll(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	if lower, ok := ctx.Value(sizeKey{}).(int64); ok && lower > 0 {
		limit = min(limit, lower)
	}
	data, err := io.ReadAll(io.LimitReader(reportingReader{body, Progress(ctx)}, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	return data, err
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
