package coordinator

import "time"

// minRoundInterval is the least time between the starts of two rounds of scheduling. One
// round covers all events that arrive in between. Each round takes time for every runner
// and every waiting step, however little has changed.
const minRoundInterval = 5 * time.Millisecond

// maxRoundPause bounds the pause after a round that took long, for example because the
// machine was suspended meanwhile.
const maxRoundPause = 200 * time.Millisecond

// pausePerRound is the least pause after a round, as a multiple of the time that it took.
const pausePerRound = 3

// roundPacer spaces rounds of scheduling so that they take at most a quarter of the time. A loop
// that spent all of its time on scheduling would not apply the events that free capacity, and on
// one processor the calls to runners and to the store wait for it too.
type roundPacer struct {
	next time.Time // earliest start of the next round
}

// waitTime returns how long the next round still has to wait, or zero if it is due.
func (p *roundPacer) waitTime(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }

// recordRound records the start and the end of a round and sets when the next one is due.
func (p *roundPacer) recordRound(began, ended time.Time) {
	duration := ended.Sub(began)
	pause := max(minRoundInterval-duration, min(pausePerRound*duration, maxRoundPause))
	p.next = ended.Add(pause)
}
