package leadership

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"bergamotstile/rowstore"
)

// candidatesTable has a row with the capacity of each instance, by its name. Rows
// of instances that left stay.
const candidatesTable = "candidates"

const (
	registerPause = time.Second
	// capacityWait is how long a candidate leaves a free lease to a much more
	// capable one: three polls, or one poll while calls to the store take 0.4 s.
	capacityWait = 1200 * time.Millisecond
	// requesterWait is how long a lease that was released on request is left to the
	// requester, which polls every requestPoll. It is below capacityWait so that
	// capable candidates still go before weak ones if the requester is gone.
	requesterWait = 600 * time.Millisecond
	// restTime is how long an instance whose term ended by an error or by yielding
	// leaves the lease to others. It is above capacityWait, so that each of them has
	// its turn.
	restTime = 2 * time.Second
)

// registration is the stored capacity of an instance.
type registration struct {
	CPUMilli int64 `cbor:"1,keyasint"`
}

// others is what was read of the other candidates.
type others struct {
	read bool
	// epoch and version are the lease's at the time of the read.
	epoch, version uint64
	// most is the largest capacity, of the instance named by holder.
	most   int64
	holder string
}

// outranks reports whether a capacity is at least 1.5 times another. It is false if
// one of them is not known.
func outranks(capacity, other int64) bool {
	return other > 0 && 2*capacity >= 3*other
}

// register stores the instance's capacity where other candidates read it, and tries
// again until it is stored. The candidacy does not wait for it.
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
		sleep(ctx, registerPause)
	}
}

// storeRegistration writes nothing if the row has the capacity already.
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
		var present registration
		if err := cbor.Unmarshal(res.Rows[0].Value, &present); err == nil && present == own {
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

// needsOthers reports whether the next decision depends on the capacity of other
// candidates and they were not read for it: once per version of a free lease, once
// per epoch of a holder that may be asked for it.
func (c *Candidate) needsOthers(seen *observed) bool {
	now := c.Clock()
	if c.CPUMilli == 0 || now < seen.restUntil {
		return false
	}
	if why, _, free := c.free(seen, now); free {
		return why.reason != heldBefore && !c.meantForThis(seen) && !seen.others.knownForVersion(seen)
	}
	return c.wantsLease(seen, now) && !seen.others.knownForEpoch(seen)
}

func (o others) knownForVersion(seen *observed) bool { return o.read && o.version == seen.version }

func (o others) knownForEpoch(seen *observed) bool { return o.read && o.epoch == seen.Epoch }

// readOthers reads the capacity of the other candidates.
func (c *Candidate) readOthers(ctx context.Context, seen *observed) {
	found, err := c.listOthers(ctx)
	if err != nil {
		c.Log.WithError(err).Debug("candidates not read")
		return
	}
	found.read, found.epoch, found.version = true, seen.Epoch, seen.version
	seen.others = found
}

func (c *Candidate) listOthers(ctx context.Context) (others, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := rowstore.ReadAll(ctx, c.Store, rowstore.Range{Table: candidatesTable})
	if err != nil {
		return others{}, fmt.Errorf("candidates: %w", err)
	}
	var found others
	for _, row := range res.Rows {
		var r registration
		if row.Key.Key == c.Holder || cbor.Unmarshal(row.Value, &r) != nil {
			continue
		}
		if r.CPUMilli > found.most {
			found.most, found.holder = r.CPUMilli, row.Key.Key
		}
	}
	return found, nil
}

// precedence returns how long this candidate leaves a free lease to others.
func (c *Candidate) precedence(seen *observed) time.Duration {
	switch {
	case c.meantForThis(seen):
		return 0
	case c.outranked(seen.others, seen.others.knownForVersion(seen)):
		return capacityWait
	case seen.Released && seen.RequestedBy != "":
		return requesterWait
	}
	return 0
}

// outranked reports whether a much more capable instance is registered. If that is
// not known it is taken to be so.
func (c *Candidate) outranked(o others, known bool) bool {
	return c.CPUMilli > 0 && (!known || outranks(o.most, c.CPUMilli))
}

// logWait says why the lease is not taken yet.
func (c *Candidate) logWait(seen *observed, wait time.Duration) {
	known := seen.others.knownForVersion(seen)
	log := c.Log.WithFields(logrus.Fields{"epoch": seen.Epoch, "cpu_milli": c.CPUMilli, "wait_ms": wait.Milliseconds()})
	switch {
	case !c.outranked(seen.others, known):
		log.WithFields(logrus.Fields{"requester": seen.RequestedBy, "requester_milli": seen.RequesterMilli}).Info("lease left to its requester")
	case !known:
		log.Info("lease not taken yet, other candidates are not known")
	default:
		log.WithFields(logrus.Fields{"most_capable": seen.others.holder, "most_milli": seen.others.most}).Info("lease left to a more capable instance")
	}
}
