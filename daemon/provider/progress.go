package provider

import "context"

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
