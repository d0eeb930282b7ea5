package rowstore

import "context"

// newConnectionKey is the key of the context value that WithNewConnection sets.
type newConnectionKey struct{}

// WithNewConnection returns a context for a call that repeats one without an answer. A Store
// that keeps connections drops the unused ones before it makes the call, since they may have
// gone silent together with that of the earlier call.
func WithNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// WantsNewConnection reports whether ctx comes from WithNewConnection.
func WantsNewConnection(ctx context.Context) bool {
	wants, _ := ctx.Value(newConnectionKey{}).(bool)
	return wants
}
