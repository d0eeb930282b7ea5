package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"bergamotstile/rowstore"
)

// Guards against a roster that exceeds the size of a row of the store: the store refuses it for
// good, and a successor does not learn which leases have expired.
func TestRosterOfALargeFleetFitsIntoItsRows(t *testing.T) {
	coord := &coordinator{}
	var entries []rosterEntry
	for i := range 5300 {
		entries = append(entries, rosterEntry{id: fmt.Sprintf("i-%010x", i*7919), expiry: 1e18, wasAnswering: true, isIdle: true, settledIncarnation: 1778285828050})
	}
	var read []rosterEntry
	for key, value := range coord.encodeRosterRows(entries) {
		if len(value) > rowstore.DefaultMaxRowBytes {
			t.Errorf("row %v has %d bytes", key, len(value))
		}
		if _, ok := parseRosterRowKey(key); !ok {
			t.Errorf("row %v is not read", key)
		}
		read = append(read, decodeRoster(value)...)
	}
	if len(read) != len(entries) || !slices.ContainsFunc(read, func(e rosterEntry) bool { return e == entries[17] }) {
		t.Errorf("%d of %d runners are read", len(read), len(entries))
	}
}

// Guards against rows of an earlier, larger roster that are left with runners which have gone.
func TestSmallerRosterReplacesAllRows(t *testing.T) {
	coord := &coordinator{rosterRowCount: 3} // as read in the takeover
	rows := coord.encodeRosterRows([]rosterEntry{{id: "a"}})
	if len(rows) != 3 {
		t.Errorf("%d rows are written, want all 3", len(rows))
	}
	if len((&coordinator{}).encodeRosterRows([]rosterEntry{{id: "a"}})) != 1 {
		t.Error("a small roster takes more than one row")
	}
}
