package lifecycle

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// scanner reads the shard's rows page by page: all work rows once for
// recovery, and then again and again the rows that mark new items, for those
// that no hint announced. Reading all work rows each time would cost far more
// than a daemon's share of the network.
type scanner struct {
	busy  bool
	after string
	next  time.Time
	retry int
}

// tickScan reads the next page once it is due. The epoch row of this lease is
// in place, so no older owner can write a row behind the scan.
func (c *core) tickScan() {
	s := &c.scan
	if s.busy || c.clock.Now().Before(s.next) || !c.held() {
		return
	}
	s.busy = true
	prefix, after := workPrefix(c.lease.Shard), s.after
	if c.ready {
		prefix = newPrefix(c.lease.Shard)
	}
	c.do("scan", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Scan(ctx, prefix, after, c.cfg.ScanPage)
		if err != nil || len(rows) == c.cfg.ScanPage {
			return func() { c.onScan(rows, nil, false, err) }
		}
		cancels, err := c.deps.Table.Scan(ctx, cancelPrefix(c.lease.Shard), "", c.cfg.ScanPage)
		return func() { c.onScan(rows, cancels, true, err) }
	})
}

// onScan takes in a page. Cancel rows come after the last page, so each finds
// its item, or does so at the next scan.
func (c *core) onScan(rows, cancels []platform.Row, last bool, err error) {
	s := &c.scan
	s.busy = false
	if c.stopped {
		return
	}
	if err != nil {
		s.next = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, s.retry))
		s.retry++
		return
	}
	s.retry = 0
	c.takeInPage(rows)
	s.after, s.next = "", c.clock.Now().Add(c.cfg.QueueScan)
	if !last {
		s.after = rows[len(rows)-1].Key
		if !c.ready {
			s.next = c.clock.Now()
		}
		return
	}
	c.learnCancels(cancels)
	c.becomeReady()
}

// takeInPage takes in work rows, or reads the items that are marked as new.
func (c *core) takeInPage(rows []platform.Row) {
	if !c.ready {
		for _, row := range rows {
			c.learn(row)
		}
		return
	}
	var unknown []string
	for _, row := range rows {
		id := structs.WorkID(strings.TrimPrefix(row.Key, newPrefix(c.lease.Shard)))
		if c.items[id] == nil {
			unknown = append(unknown, workKey(c.lease.Shard, id))
		}
	}
	if len(unknown) > 0 {
		c.readItems(unknown)
	}
}

// readItems reads work rows by key. What cannot be read now is found by a
// later scan.
func (c *core) readItems(keys []string) {
	c.do("read items", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Read(ctx, keys...)
		return func() {
			if err != nil || c.stopped {
				return
			}
			for _, row := range rows {
				c.learn(row)
			}
		}
	})
}

func (c *core) becomeReady() {
	if c.ready {
		return
	}
	c.ready = true
	c.lastGrants = nil
	c.planner.dirty = true
	c.deps.Log.WithFields(logrus.Fields{"shard": c.lease.Shard, "items": len(c.items), "epoch": c.lease.Epoch}).Info("shard recovered")
	for _, id := range sortedIDs(c.items) {
		c.advance(c.items[id])
	}
}

// learn takes in a work row that is not known yet.
func (c *core) learn(row platform.Row) {
	// The scan reads known rows again and again, so they are not decoded.
	if c.items[structs.WorkID(strings.TrimPrefix(row.Key, workPrefix(c.lease.Shard)))] != nil {
		return
	}
	item, err := decodeItem(row)
	if err != nil {
		c.deps.Log.WithError(err).Error("row cannot be decoded")
		return
	}
	if c.items[item.ID] != nil || row.Key != workKey(c.lease.Shard, item.ID) {
		return
	}
	r := &record{item: item, version: row.Version}
	c.items[item.ID] = r
	if active(item) {
		c.ledger.force(item.Worker, item.AttemptID(), item.Spec.Size)
		c.workerFor(item.Worker)
	}
	c.index(r)
	if c.ready {
		c.advance(r)
	}
}

// learnCancels takes in cancel rows and deletes those that came too late. An
// item that is over stays so, hence it does not matter when the delete takes
// effect, or how often.
func (c *core) learnCancels(rows []platform.Row) {
	var late []string
	for _, row := range rows {
		r := c.items[structs.WorkID(strings.TrimPrefix(row.Key, cancelPrefix(c.lease.Shard)))]
		switch {
		case r == nil || r.cancelRow:
		case over(r.item):
			late = append(late, row.Key)
		default:
			r.cancelRow = true
			c.cancelRecord(r)
		}
	}
	if len(late) == 0 {
		return
	}
	tx := platform.Transaction{
		WriteID:    c.deps.NewWriteID(),
		Conditions: []platform.Condition{c.lease.Fence},
		Deletes:    late,
	}
	c.do("delete cancels", func(ctx context.Context) func() {
		_, _ = c.deps.Table.Commit(ctx, tx)
		return func() {}
	})
}

func compareIDs(a, b structs.WorkID) int {
	return cmp.Compare(a, b)
}

func sortedIDs(records map[structs.WorkID]*record) []structs.WorkID {
	return slices.Sorted(maps.Keys(records))
}

// scheduleRestart sets when a standing job runs again: at once after a long
// run, with a growing wait after short ones.
func (c *core) scheduleRestart(r *record) {
	now := c.clock.Now()
	if !r.placedAt.IsZero() && now.Sub(r.placedAt) > c.cfg.RestartMax {
		r.restarts = 0
	}
	r.restartAt = now.Add(backoff(c.cfg.RestartMin, c.cfg.RestartMax, r.restarts))
	r.restarts++
}
