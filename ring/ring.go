// Package ring provides a bounded queue for communication between goroutines. A
// full queue rejects an item instead of blocking, so that an I/O goroutine never
// waits for a slow consumer.
package ring

// Queue is a bounded first-in first-out queue, safe for concurrent use.
type Queue[T any] struct {
	items chan T
}

// New returns an empty queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Offer adds an item and reports whether it was added. It adds nothing if the
// queue is full.
func (r *Queue[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// C returns the channel from which consumers receive the items.
func (r *Queue[T]) C() <-chan T {
	return r.items
}

// Len returns the number of items in the queue.
func (r *Queue[T]) Len() int {
	return len(r.items)
}

// Drain removes and returns the items in the queue, but at most limit items. It
// does not wait for further items.
func (r *Queue[T]) Drain(limit int) []T {
	var drained []T
	for len(drained) < limit {
		select {
		case item := <-r.items:
			drained = append(drained, item)
		default:
			return drained
		}
	}
	return drained
}
