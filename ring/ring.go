// Package ring provides the bounded queue that joins goroutines. A full ring
// refuses instead of blocking, so that an I/O goroutine never waits for a slow
// consumer.
package ring

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item and reports whether there was room for it.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// C returns the channel from which consumers receive.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Drain removes and returns at most limit items that already wait.
func (r *Ring[T]) Drain(limit int) []T {
	var out []T
	for len(out) < limit {
		select {
		case item := <-r.items:
			out = append(out, item)
		default:
			return out
		}
	}
	return out
}
