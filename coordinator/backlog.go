package coordinator

import "time"

// Bounds of the lag.
const (
	// lagLogged is the lag from which on the log says that the coordinator is behind.
	lagLogged = time.Second
	// maxLag is the lag, and maxLagTime how long it may last, beyond which another
	// instance should coordinate: cancels take effect and lost runs are noticed that
	// much later.
	maxLag     = 1500 * time.Millisecond
	maxLagTime = 2 * time.Second
)

// backlog follows how far behind a loop is by the ages of the events that it applies.
type backlog struct {
	lag time.Duration // as of the last note
	// over is set while the lag has been above maxLag, since a time.
	over  bool
	since time.Duration
}

// note records the age of the oldest event that was applied, zero if none waits.
func (b *backlog) note(age, now time.Duration) {
	b.lag = age
	if age <= maxLag {
		b.over = false
		return
	}
	if !b.over {
		b.over, b.since = true, now
	}
}

// behind reports whether the lag has been above its bound for too long. A loop that was
// held up once catches up before.
func (b *backlog) behind(now time.Duration) bool {
	return b.over && now-b.since >= maxLagTime
}
