package lifecycle

import (
	"bergamotstile/structs"
)

// ledger accounts for the capacity of a shard's workers. An attempt counts
// from the moment its intent is queued for commit until it is proven ended,
// and as long as its worker reports it as running.
type ledger struct {
	accounts map[string]*account
	// at tells which worker an attempt is held on.
	at map[structs.AttemptID]string
}

type account struct {
	capacity structs.Resources
	holds    map[structs.AttemptID]structs.Resources
	// reported are running attempts that have no hold.
	reported map[structs.AttemptID]structs.Resources
	used     structs.Resources
}

func newLedger() *ledger {
	return &ledger{accounts: map[string]*account{}, at: map[structs.AttemptID]string{}}
}

func (l *ledger) account(worker string) *account {
	a := l.accounts[worker]
	if a == nil {
		a = &account{
			holds:    map[structs.AttemptID]structs.Resources{},
			reported: map[structs.AttemptID]structs.Resources{},
		}
		l.accounts[worker] = a
	}
	return a
}

// setCapacity records what the worker has. It may be less than what is held.
func (l *ledger) setCapacity(worker string, capacity structs.Resources) {
	l.account(worker).capacity = capacity
}

// hold reserves room for an attempt and reports whether there was room.
func (l *ledger) hold(worker string, attempt structs.AttemptID, size structs.Resources) bool {
	a := l.account(worker)
	if !a.used.Add(size).Fits(a.capacity) {
		return false
	}
	l.force(worker, attempt, size)
	return true
}

// force reserves room for an attempt that exists already, whether it fits or
// not.
func (l *ledger) force(worker string, attempt structs.AttemptID, size structs.Resources) {
	a := l.account(worker)
	if _, held := a.holds[attempt]; held {
		return
	}
	if reported, ok := a.reported[attempt]; ok {
		a.used = a.used.Sub(reported)
		delete(a.reported, attempt)
	}
	a.holds[attempt] = size
	a.used = a.used.Add(size)
	l.at[attempt] = worker
}

// release frees the room of an attempt that is proven ended or was never
// committed. It reports whether the attempt was held.
func (l *ledger) release(attempt structs.AttemptID) bool {
	worker, held := l.at[attempt]
	if !held {
		return false
	}
	a := l.accounts[worker]
	a.used = a.used.Sub(a.holds[attempt])
	delete(a.holds, attempt)
	delete(l.at, attempt)
	return true
}

// report replaces the attempts that a worker says it runs. Those with a hold
// count once, by their hold.
func (l *ledger) report(worker string, running map[structs.AttemptID]structs.Resources) {
	a := l.account(worker)
	for _, size := range a.reported {
		a.used = a.used.Sub(size)
	}
	clear(a.reported)
	for attempt, size := range running {
		if _, held := a.holds[attempt]; held {
			continue
		}
		a.reported[attempt] = size
		a.used = a.used.Add(size)
	}
}

// occupied reports whether anything counts against the worker.
func (l *ledger) occupied(worker string) bool {
	a := l.accounts[worker]
	return a != nil && len(a.holds)+len(a.reported) > 0
}

// forget drops the account of a worker on which nothing counts.
func (l *ledger) forget(worker string) {
	if !l.occupied(worker) {
		delete(l.accounts, worker)
	}
}
