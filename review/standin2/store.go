//go:build review

package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bergamotstile/rowstore"
)

// Limits of the store, as the users' protocol gives them.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxEntries   = 100
	rowBytes     = 65536
	txTime       = 8 * time.Millisecond
	readTime     = 4 * time.Millisecond
)

// store is a stand-in of the platform's row store, over rows in memory.
type store struct {
	rows    *rowTables
	started time.Time
}

func newStore() *store { return &store{rows: newRowTables(), started: time.Now()} }

// write writes a row of the operator or of a runner, or removes it if value is nil.
func (s *store) write(table, key string, value []byte) {
	k := rowstore.Key{Table: table, Key: key}
	tx := rowstore.Transaction{Puts: []rowstore.Put{{Key: k, Value: value}}}
	if value == nil {
		tx = rowstore.Transaction{Deletes: []rowstore.Key{k}}
	}
	_, _ = s.rows.Commit(tx)
}

type rowBody struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"tombstone,omitempty"`
}

func (b rowBody) key() rowstore.Key { return rowstore.Key{Table: b.Table, Part: b.Part, Key: b.Key} }

type txBody struct {
	Conditions []rowBody `json:"expect-rev"`
	Puts       []rowBody `json:"put"`
	Deletes    []rowBody `json:"remove"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTx(w, r)
	case "/api/rows-get":
		time.Sleep(readTime)
		s.respond(w, s.rows.Read(rowstore.Range{Table: q.Get("table"), Part: q.Get("part"), From: q.Get("from"), To: q.Get("to")}), nil)
	case "/api/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		res, err := s.rows.Changes(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		s.respond(w, res, err)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var body txBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var tx rowstore.Transaction
	parts := map[string]bool{}
	for _, c := range body.Conditions {
		tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: c.key(), Version: c.Version})
		parts[c.Part] = true
	}
	for _, p := range body.Puts {
		tx.Puts = append(tx.Puts, rowstore.Put{Key: p.key(), Value: p.Value})
		parts[p.Part] = true
		if len(p.Value) > rowBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	for _, d := range body.Deletes {
		tx.Deletes = append(tx.Deletes, d.key())
		parts[d.Part] = true
	}
	if len(tx.Conditions)+len(tx.Puts)+len(tx.Deletes) > maxEntries || len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, b := range append(append([]rowBody(nil), body.Puts...), body.Deletes...) {
		if b.Table == "op" || b.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(txTime)
	version, err := s.rows.Commit(tx)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		s.send(w, http.StatusPreconditionFailed, rowstore.Result{Rows: conflict.Rows})
		return
	}
	s.respond(w, rowstore.Result{Version: version, Now: time.Since(s.started)}, err)
}

func (s *store) respond(w http.ResponseWriter, res rowstore.Result, err error) {
	switch {
	case errors.Is(err, rowstore.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.send(w, http.StatusOK, res)
	}
}

// send sends rows.
func (s *store) send(w http.ResponseWriter, status int, res rowstore.Result) {
	rows := []rowBody{}
	for _, r := range res.Rows {
		rows = append(rows, rowBody{r.Key.Table, r.Key.Part, r.Key.Key, r.Value, r.Version, r.Deleted})
	}
	writeJSON(w, status, map[string]any{"rows": rows, "has-more": res.More, "ver": res.Version, "now-ms": time.Since(s.started).Milliseconds()})
}
