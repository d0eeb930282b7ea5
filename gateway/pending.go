package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotstile/rowstore"
)

// ErrOutdated means that the current number of pending jobs is unknown: the stored
// counts are too old, or the coordinator has never stored any.
var ErrOutdated = errors.New("number of pending jobs is outdated")

// PendingKey is the key of the row with the pending counts of all queues.
var PendingKey = rowstore.Key{Table: "queues", Key: "pending"}

// PendingCounts are the numbers of pending jobs as the coordinator stores them. A job
// is pending while none of its tasks has started.
type PendingCounts struct {
	// AsOf is the time, on the store's clock, up to which accepted jobs are counted.
	AsOf time.Duration `cbor:"1,keyasint"`
	// Jobs holds the count of each queue. A queue without an entry has no pending
	// jobs.
	Jobs map[string]int `cbor:"2,keyasint"`
}

// Encode returns the value of the row at PendingKey.
func (c PendingCounts) Encode() ([]byte, error) { return cbor.Marshal(c) }

// Pending is the number of pending jobs of one queue.
type Pending struct {
	Jobs int
	// Age is the time since AsOf of the stored counts, on the store's clock.
	Age time.Duration
}

// Pending returns the number of pending jobs of a queue as the coordinator last stored
// it. It returns ErrOutdated if the counts are older than MaxPendingAge or missing.
func (g *Gateway) Pending(ctx context.Context, queue string) (Pending, error) {
	key := PendingKey
	res, err := g.read(ctx, rowstore.Range{Table: key.Table, Part: key.Part, From: key.Key, To: key.Key + "\x00"})
	if err != nil {
		return Pending{}, fmt.Errorf("%w: %v", ErrNotAccepted, err)
	}
	var counts PendingCounts
	if len(res.Rows) > 0 {
		if err := cbor.Unmarshal(res.Rows[0].Value, &counts); err != nil {
			return Pending{}, fmt.Errorf("pending jobs: %w", err)
		}
	}
	p := Pending{Jobs: counts.Jobs[queue], Age: res.Now - counts.AsOf}
	if len(res.Rows) == 0 || p.Age > g.MaxPendingAge {
		return p, fmt.Errorf("%w: counted %v ago", ErrOutdated, p.Age)
	}
	return p, nil
}
