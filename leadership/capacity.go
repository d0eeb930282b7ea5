package leadership

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

// candidatesTable is the table with the registered capacity of each instance. The key
// is the instance's name. Rows of instances that have left the deployment remain.
const candidatesTable = "candidates"

const (
	// registerRetryInterval is the pause between attempts to register the capacity.
	registerRetryInterval = time.Second
	// capacityWait is the time for which a candidate leaves a free lease to a much
	// more capable one. It is enough for three polls, or for one poll while calls to
	// the store take 0.4 s.
	capacityWait = 1200 * time.Millisecond
	// requesterWait is the time for which other candidates leave a lease that was
	// released on request to the requester, which polls every fastPollInterval. It is
	// shorter than capacityWait, so that capable candidates still take precedence over
	// weak ones if the requester has died.
	requesterWait = 600 * time.Millisecond
	// termBackoff is the time for which an instance leaves the lease to others after
	// its term has ended, unless another process has taken the lease. It is longer than
	// capacityWait, so that all other candidates may take the lease first.
	termBackoff = 2 * time.Second
)

// registration is the row of an instance in candidatesTable: its capacity in
// thousandths of a core.
type registration struct {
	CPUMilli int64 `cbor:"1,keyasint"`
}

// capacities holds the result of the last read of the other candidates' capacities.
type capacities struct {
	known bool // a read has succeeded
	// epoch and version are those of the lease at the time of the read.
	epoch, version uint64
	// largestMilli is the largest capacity in thousandths of a core, and mostCapable the
	// name of the instance that has it.
	largestMilli int64
	mostCapable  string
}

// outranks reports whether capacity is at least 1.5 times other. It is false if one of
// them is zero, which means not known.
func outranks(capacity, other int64) bool {
	return other > 0 && 2*capacity >= 3*other
}

// register stores the instance's capacity in candidatesTable for the other candidates,
// and retries until that succeeds or ctx ends. The candidate polls the lease in the
// meantime.
func (c *Candidate) register(ctx context.Context) {
	if c.CPUMilli == 0 {
		return
	}
	for ctx.Err() == nil {
		err := c.storeRegistration(ctx)
		if err == nil {
			c.Log.WithField("cpu_milli", c.CPUMilli).Info("capacity registered")
			return
		}
		c.Log.WithError(err).Debug("capacity not registered")
		sleep(ctx, registerRetryInterval)
	}
}

// storeRegistration writes the instance's row in candidatesTable, unless the row
// already holds the same capacity.
func (c *Candidate) storeRegistration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := rowstore.Key{Table: candidatesTable, Key: c.Holder}
	res, err := c.Store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
	if err != nil {
		return err
	}
	own := registration{CPUMilli: c.CPUMilli}
	if len(res.Rows) > 0 {
		var stored registration
		if err := cbor.Unmarshal(res.Rows[0].Value, &stored); err == nil && stored == own {
			return nil
		}
	}
	value, err := cbor.Marshal(own)
	if err != nil {
		return err
	}
	_, err = c.Store.Commit(ctx, rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: value}}})
	return err
}

// needsOtherCandidates reports whether the next decision depends on the capacities of
// the other candidates and these have not been read for it yet. They are read once for
// each version of a free lease, and once for each epoch of a holder from which this
// candidate may request the lease.
func (c *Candidate) needsOtherCandidates(observed *observedLease) bool {
	now := c.Clock()
	if c.CPUMilli == 0 || now < observed.backoffUntil {
		return false
	}
	if vacancy, _, free := c.detectVacancy(observed, now); free {
		return vacancy.reason != reasonHeldBefore && !c.isReleasedForSelf(observed) && !observed.otherCapacities.knownForVersion(observed)
	}
	return c.shouldRequest(observed, now) && !observed.otherCapacities.knownForEpoch(observed)
}

// knownForVersion reports whether the capacities were read for this version of the row.
func (c capacities) knownForVersion(l *observedLease) bool { return c.known && c.version == l.version }

// knownForEpoch reports whether the capacities were read for this epoch of the lease.
func (c capacities) knownForEpoch(l *observedLease) bool { return c.known && c.epoch == l.Epoch }

// refreshOtherCandidates reads the capacities of the other candidates into observed.
func (c *Candidate) refreshOtherCandidates(ctx context.Context, observed *observedLease) {
	found, err := c.readOtherCandidates(ctx)
	if err != nil {
		c.Log.WithError(err).Debug("capacities of other candidates not read")
		return
	}
	found.known, found.epoch, found.version = true, observed.Epoch, observed.version
	observed.otherCapacities = found
}

// readOtherCandidates returns the largest capacity that another instance has
// registered.
func (c *Candidate) readOtherCandidates(ctx context.Context) (capacities, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := rowstore.ReadAll(ctx, c.Store, rowstore.Range{Table: candidatesTable})
	if err != nil {
		return capacities{}, fmt.Errorf("candidates: %w", err)
	}
	var found capacities
	for _, row := range res.Rows {
		var r registration
		if row.Key.Key == c.Holder || cbor.Unmarshal(row.Value, &r) != nil {
			continue
		}
		if r.CPUMilli > found.largestMilli {
			found.largestMilli, found.mostCapable = r.CPUMilli, row.Key.Key
		}
	}
	return found, nil
}

// precedenceWait returns the time for which this candidate leaves a free lease to
// candidates that take precedence over it.
func (c *Candidate) precedenceWait(observed *observedLease) time.Duration {
	switch {
	case c.isReleasedForSelf(observed):
		return 0
	case c.isOutranked(observed.otherCapacities, observed.otherCapacities.knownForVersion(observed)):
		return capacityWait
	case observed.Released && observed.RequestedBy != "":
		return requesterWait
	}
	return 0
}

// isOutranked reports whether a much more capable instance is registered. It assumes so
// if the registered capacities are not known.
func (c *Candidate) isOutranked(others capacities, known bool) bool {
	return c.CPUMilli > 0 && (!known || outranks(others.largestMilli, c.CPUMilli))
}

// logWait logs why this candidate does not take a free lease yet.
func (c *Candidate) logWait(observed *observedLease, wait time.Duration) {
	known := observed.otherCapacities.knownForVersion(observed)
	log := c.Log.WithFields(logrus.Fields{"epoch": observed.Epoch, "cpu_milli": c.CPUMilli, "wait_ms": wait.Milliseconds()})
	switch {
	case !c.isOutranked(observed.otherCapacities, known):
		log.WithFields(logrus.Fields{"requester": observed.RequestedBy, "requester_milli": observed.RequesterMilli}).Info("lease left to its requester")
	case !known:
		log.Info("lease not taken yet, capacities of other candidates are unknown")
	default:
		log.WithFields(logrus.Fields{"most_capable": observed.otherCapacities.mostCapable, "most_milli": observed.otherCapacities.largestMilli}).Info("lease left to a more capable instance")
	}
}
