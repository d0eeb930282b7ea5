package coordinator

import "time"

// roundGap is the least pause between the starts of two rounds of scheduling. Events
// that arrive meanwhile are scheduled together: a round costs time for each runner and
// each waiting step, whatever has happened.
const roundGap = 5 * time.Millisecond

// maxRoundGap bounds the pause after a round that took long, as after a suspension of
// the machine.
const maxRoundGap = 200 * time.Millisecond

// roundPacer spaces rounds of scheduling so that they take at most half of the time: a
// loop that only schedules would not get to the events that free room.
type roundPacer struct {
	next time.Time
}

// wait returns how long the next round has to wait.
func (p *roundPacer) wait(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }

// done records a round.
func (p *roundPacer) done(began, ended time.Time) {
	pause := max(roundGap-ended.Sub(began), min(ended.Sub(began), maxRoundGap))
	p.next = ended.Add(pause)
}
