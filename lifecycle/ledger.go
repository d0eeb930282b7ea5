package lifecycle

import (
	"bergamotstile/structs"
)

// capacityLedger accounts for the capacity of a shard's workers. An attempt
// counts against its worker from the moment its placement is queued for commit
// until it is proven to have ended or its placement is discarded, and beyond that
// for as long as the worker reports it as running.
type capacityLedger struct {
	accounts map[string]*workerAccount
	// workerOf maps each attempt that has an allocation to its worker.
	workerOf map[structs.AttemptID]string
}

// workerAccount holds the capacity of one worker and the attempts that count
// against it.
type workerAccount struct {
	capacity    structs.Resources
	allocations map[structs.AttemptID]structs.Resources
	// reportedOnly holds the sizes of the attempts that the worker reports as
	// running but that have no allocation.
	reportedOnly map[structs.AttemptID]structs.Resources
	// allocated is the sum of the sizes in allocations and reportedOnly.
	allocated structs.Resources
}

func newCapacityLedger() *capacityLedger {
	return &capacityLedger{accounts: map[string]*workerAccount{}, workerOf: map[structs.AttemptID]string{}}
}

// ensureAccount returns the account of a worker. It creates the account if
// there is none.
func (l *capacityLedger) ensureAccount(worker string) *workerAccount {
	a := l.accounts[worker]
	if a == nil {
		a = &workerAccount{
			allocations:  map[structs.AttemptID]structs.Resources{},
			reportedOnly: map[structs.AttemptID]structs.Resources{},
		}
		l.accounts[worker] = a
	}
	return a
}

// setCapacity sets the capacity of a worker. The capacity may be smaller than
// the sum that is already allocated there.
func (l *capacityLedger) setCapacity(worker string, capacity structs.Resources) {
	l.ensureAccount(worker).capacity = capacity
}

// allocate reserves capacity for an attempt. It reports false and reserves nothing
// if the worker has too little free capacity.
func (l *capacityLedger) allocate(worker string, attempt structs.AttemptID, size structs.Resources) bool {
	a := l.ensureAccount(worker)
	if !a.allocated.Add(size).Fits(a.capacity) {
		return false
	}
	l.forceAllocate(worker, attempt, size)
	return true
}

// forceAllocate reserves capacity for an attempt without a check of the free
// capacity. Recovery calls it directly for attempts that were placed earlier and
// may be running, even if the worker has too little free capacity. forceAllocate
// does nothing if the attempt already has an allocation on the worker.
func (l *capacityLedger) forceAllocate(worker string, attempt structs.AttemptID, size structs.Resources) {
	a := l.ensureAccount(worker)
	if _, hasAllocation := a.allocations[attempt]; hasAllocation {
		return
	}
	if reported, ok := a.reportedOnly[attempt]; ok {
		a.allocated = a.allocated.Sub(reported)
		delete(a.reportedOnly, attempt)
	}
	a.allocations[attempt] = size
	a.allocated = a.allocated.Add(size)
	l.workerOf[attempt] = worker
}

// release frees the capacity of an attempt that is proven to have ended or
// whose placement was never committed. It reports whether the attempt had an
// allocation.
func (l *capacityLedger) release(attempt structs.AttemptID) bool {
	worker, hasAllocation := l.workerOf[attempt]
	if !hasAllocation {
		return false
	}
	a := l.accounts[worker]
	a.allocated = a.allocated.Sub(a.allocations[attempt])
	delete(a.allocations, attempt)
	delete(l.workerOf, attempt)
	return true
}

// setRunning replaces the list of attempts that a worker reports as running. An
// attempt with an allocation counts only once, with its allocated size.
func (l *capacityLedger) setRunning(worker string, running map[structs.AttemptID]structs.Resources) {
	a := l.ensureAccount(worker)
	for _, size := range a.reportedOnly {
		a.allocated = a.allocated.Sub(size)
	}
	clear(a.reportedOnly)
	for attempt, size := range running {
		if _, hasAllocation := a.allocations[attempt]; hasAllocation {
			continue
		}
		a.reportedOnly[attempt] = size
		a.allocated = a.allocated.Add(size)
	}
}

// hasAttempts reports whether any attempt counts against the worker.
func (l *capacityLedger) hasAttempts(worker string) bool {
	a := l.accounts[worker]
	return a != nil && len(a.allocations)+len(a.reportedOnly) > 0
}

// removeAccountIfUnused deletes the account of a worker if no attempt counts
// against it.
func (l *capacityLedger) removeAccountIfUnused(worker string) {
	if !l.hasAttempts(worker) {
		delete(l.accounts, worker)
	}
}
