package coordinator

import "time"

// roundGap is the least pause between the starts of two rounds of scheduling. Events
// that arrive meanwhile are scheduled together: a round costs time for each runner and
// each waiting step, whatever has happened.
const roundGap = 5 * time.Millisecond

// roundPacer spaces rounds of scheduling so that they take at most half of the time: a
// loop that only schedules would not get to the events that free room.
type roundPacer struct {
	next time.Time
}

// wait returns how long the next round has to wait.
func (p *roundPacer) wait(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }

// done records a round.
func (p *roundPacer) done(began, ended time.Time) {
	p.next = began.Add(max(roundGap, 2*ended.Sub(began)))
}
