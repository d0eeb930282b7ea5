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

// scanner holds the progress of the scans that read rows of the shard page by
// page. The first scan is the recovery, which reads all work rows. Each later
// scan reads the marker rows, which name the items that no owner has written
// yet, to find new items of which no hint arrived. Reading all work rows each
// time would take far more network capacity than a daemon may use. Later scans
// start QueueScan after the previous one, and their pages are QueueScan apart.
// Each scan ends with the cancel rows.
type scanner struct {
	inFlight bool
	afterKey string    // last key of the previous page, or empty for the first page
	nextAt   time.Time // when to read the next page
	retries  int       // failed reads since the last successful one
}

// tickScan requests the next page once it is due, unless the core may not
// commit. The table holds the epoch row of this lease by then, so no earlier
// owner can write a row after the scan has passed it.
func (c *core) tickScan() {
	s := &c.scanner
	if s.inFlight || c.clock.Now().Before(s.nextAt) || !c.canCommit() {
		return
	}
	s.inFlight = true
	prefix, after := workPrefix(c.lease.Shard), s.afterKey
	if c.ready {
		prefix = markerPrefix(c.lease.Shard)
	}
	c.queueCall("scan", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Scan(ctx, prefix, after, c.cfg.ScanPage)
		if err != nil || len(rows) == c.cfg.ScanPage {
			return func() { c.handleScanPage(rows, nil, false, err) }
		}
		cancelRows, err := c.deps.Table.Scan(ctx, cancelPrefix(c.lease.Shard), "", c.cfg.ScanPage)
		return func() { c.handleScanPage(rows, cancelRows, true, err) }
	})
}

// handleScanPage processes a page, or schedules another read of the page if the
// read failed. The cancel rows are read after the last page, so the core has
// already read the items of most of them. The other cancel rows are processed at
// the next scan. The last page of the first scan completes the recovery.
func (c *core) handleScanPage(rows, cancelRows []platform.Row, isLastPage bool, err error) {
	s := &c.scanner
	s.inFlight = false
	if c.stopped {
		return
	}
	if err != nil {
		s.nextAt = c.clock.Now().Add(backoff(c.cfg.RetryMin, c.cfg.RetryMax, s.retries))
		s.retries++
		return
	}
	s.retries = 0
	c.processPage(rows)
	s.afterKey, s.nextAt = "", c.clock.Now().Add(c.cfg.QueueScan)
	if !isLastPage {
		s.afterKey = rows[len(rows)-1].Key
		if !c.ready {
			s.nextAt = c.clock.Now()
		}
		return
	}
	c.processCancelRows(cancelRows)
	c.completeRecovery()
}

// processPage adds the items of a page of work rows during recovery. After
// recovery, the page holds marker rows, and processPage requests the work rows
// of the items that they name, except for items that the core has already read.
func (c *core) processPage(rows []platform.Row) {
	if !c.ready {
		for _, row := range rows {
			c.addItemFromRow(row)
		}
		return
	}
	var unknownKeys []string
	for _, row := range rows {
		id := structs.WorkID(strings.TrimPrefix(row.Key, markerPrefix(c.lease.Shard)))
		if c.records[id] == nil {
			unknownKeys = append(unknownKeys, workKey(c.lease.Shard, id))
		}
	}
	if len(unknownKeys) > 0 {
		c.readItems(unknownKeys)
	}
}

// readItems requests work rows by key and adds their items once they are read.
// If the read fails, a later scan finds the items.
func (c *core) readItems(keys []string) {
	c.queueCall("read items", func(ctx context.Context) func() {
		rows, err := c.deps.Table.Read(ctx, keys...)
		return func() {
			if err != nil || c.stopped {
				return
			}
			for _, row := range rows {
				c.addItemFromRow(row)
			}
		}
	})
}

// completeRecovery makes the core ready and advances all records. It does
// nothing after the first call.
func (c *core) completeRecovery() {
	if c.ready {
		return
	}
	c.ready = true
	c.predecessorGrantTimes = nil
	c.planner.dirty = true
	c.deps.Log.WithFields(logrus.Fields{"shard": c.lease.Shard, "items": len(c.records), "epoch": c.lease.Epoch}).Info("shard recovered")
	for _, id := range sortedIDs(c.records) {
		c.advance(c.records[id])
	}
}

// addItemFromRow adds a record for the item of a work row, unless the core
// already has one. It ignores a row that cannot be decoded, which it logs, and a
// row whose key is not that of its item.
func (c *core) addItemFromRow(row platform.Row) {
	// The row of an item that already has a record can be read again. It is not
	// decoded.
	if c.records[structs.WorkID(strings.TrimPrefix(row.Key, workPrefix(c.lease.Shard)))] != nil {
		return
	}
	item, err := decodeItem(row)
	if err != nil {
		c.deps.Log.WithError(err).Error("row cannot be decoded")
		return
	}
	if c.records[item.ID] != nil || row.Key != workKey(c.lease.Shard, item.ID) {
		return
	}
	record := &itemRecord{item: item, rowVersion: row.Version}
	c.records[item.ID] = record
	if hasActiveAttempt(item) {
		c.ledger.forceAllocate(item.Worker, item.AttemptID(), item.Spec.Size)
		c.ensureWorker(item.Worker)
	}
	c.updateQueue(record)
	if c.ready {
		c.advance(record)
	}
}

// processCancelRows requests the cancels that the cancel rows ask for. It
// requests the deletion of the rows of items whose state is terminal. Such a
// state never changes, so it does not matter when a deletion takes effect, or
// how often. A deletion that fails is requested again by the next scan. Rows of
// items that the core has not read yet are left to the next scan.
func (c *core) processCancelRows(rows []platform.Row) {
	var obsoleteKeys []string
	for _, row := range rows {
		record := c.records[structs.WorkID(strings.TrimPrefix(row.Key, cancelPrefix(c.lease.Shard)))]
		switch {
		case record == nil || record.hasCancelRow:
		case isTerminal(record.item):
			obsoleteKeys = append(obsoleteKeys, row.Key)
		default:
			record.hasCancelRow = true
			c.requestCancel(record)
		}
	}
	if len(obsoleteKeys) == 0 {
		return
	}
	tx := platform.Transaction{
		WriteID:    c.deps.NewWriteID(),
		Conditions: []platform.Condition{c.lease.Fence},
		Deletes:    obsoleteKeys,
	}
	c.queueCall("delete cancels", func(ctx context.Context) func() {
		_, _ = c.deps.Table.Commit(ctx, tx)
		return func() {}
	})
}

func compareIDs(a, b structs.WorkID) int {
	return cmp.Compare(a, b)
}

func sortedIDs(records map[structs.WorkID]*itemRecord) []structs.WorkID {
	return slices.Sorted(maps.Keys(records))
}

// scheduleRestart sets when a standing job that ended is queued again: after
// RestartMin if this core placed the last run more than RestartMax ago, and
// otherwise after a delay that doubles with each restart, from RestartMin to
// RestartMax.
func (c *core) scheduleRestart(record *itemRecord) {
	now := c.clock.Now()
	if !record.placedAt.IsZero() && now.Sub(record.placedAt) > c.cfg.RestartMax {
		record.restarts = 0
	}
	record.restartAt = now.Add(backoff(c.cfg.RestartMin, c.cfg.RestartMax, record.restarts))
	record.restarts++
}
