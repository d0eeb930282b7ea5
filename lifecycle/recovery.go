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

// scanner reads the shard's rows page by page: all of them once for recovery,
// and then again and again for rows that no hint announced.
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
	after := s.after
	c.do("scan", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Scan(ctx, workPrefix(c.lease.Shard), after, c.cfg.ScanPage)
		if err != nil || len(rows) == c.cfg.ScanPage {
			return func() { c.onScan(rows, nil, false, err) }
		}
		cancels, err := c.deps.Table.Scan(ctx, cancelPrefix(c.lease.Shard), "", c.cfg.ScanPage)
		return func() { c.onScan(rows, cancels, true, err) }
	})
}

// onScan takes in a page. Cancel rows come after the last page of work rows,
// so each finds its item.
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
	for _, row := range rows {
		c.learn(row)
	}
	if !last {
		s.after = rows[len(rows)-1].Key
		s.next = c.clock.Now()
		if c.ready {
			s.next = c.clock.Now().Add(c.cfg.QueueScan)
		}
		return
	}
	for _, row := range cancels {
		c.learnCancel(row)
	}
	s.after = ""
	s.next = c.clock.Now().Add(c.cfg.QueueScan)
	c.becomeReady()
}

func (c *core) becomeReady() {
	if c.ready {
		return
	}
	c.ready = true
	c.planner.dirty = true
	c.deps.Log.WithFields(logrus.Fields{"shard": c.lease.Shard, "items": len(c.items), "epoch": c.lease.Epoch}).Info("shard recovered")
	for _, id := range sortedIDs(c.items) {
		c.advance(c.items[id])
	}
}

// learn takes in a work row that is not known yet.
func (c *core) learn(row platform.Row) {
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

// learnCancel takes in a cancel row.
func (c *core) learnCancel(row platform.Row) {
	id := structs.WorkID(strings.TrimPrefix(row.Key, cancelPrefix(c.lease.Shard)))
	r := c.items[id]
	if r == nil || over(r.item) || r.cancelRow {
		return
	}
	r.cancelRow = true
	c.cancelRecord(r)
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
