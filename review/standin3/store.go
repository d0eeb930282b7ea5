//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bergamotstile/rowstore"
)

// Times of the store's answers, as in the site file of a small deployment.
const (
	readTime        = 4 * time.Millisecond
	transactionTime = 8 * time.Millisecond
)

// registryTable is the table in which runners register themselves.
const registryTable = "servers"

// store is a stand-in for the platform's store. While it is down it resets each connection.
type store struct {
	rows    *rowstore.Memory
	started time.Time

	mu       sync.Mutex
	isDown   bool
	since    time.Time                  // when the last outage began
	restored time.Time                  // when the last outage ended
	onCommit func(rowstore.Transaction) // called for each transaction that took effect
	versions map[string]int             // of the operator's rows
}

func newStore() *store {
	return &store{rows: rowstore.NewMemory(), started: time.Now(), versions: map[string]int{}}
}

// setDown starts or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown && !down {
		s.restored = time.Now()
	}
	if down && !s.isDown {
		s.since = time.Now()
	}
	s.isDown = down
}

// downSince returns when the last outage began.
func (s *store) downSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// put writes a row for the operator or a runner, whatever state the store is in.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, _ = s.rows.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: rowstore.Key{Table: table, Key: key}, Value: data}}})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	_, _ = s.rows.Commit(context.Background(), rowstore.Transaction{Deletes: []rowstore.Key{{Table: table, Key: key}}})
}

// value returns the value of a row, or nil.
func (s *store) value(table, key string) []byte {
	res, _ := s.rows.Read(context.Background(), rowstore.Range{Table: table, From: key, To: key + "\x00"})
	if len(res.Rows) == 0 {
		return nil
	}
	return res.Rows[0].Value
}

type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r wireRow) key() rowstore.Key { return rowstore.Key{Table: r.Table, Part: r.Part, Key: r.Key} }

type wireTransaction struct {
	Expect []wireRow `json:"expect-rev"`
	Put    []wireRow `json:"put"`
	Remove []wireRow `json:"remove"`
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTransaction(w, r)
	case "/api/rows-get":
		time.Sleep(readTime)
		q := r.URL.Query()
		res, err := s.rows.Read(r.Context(), rowstore.Range{Table: q.Get("table"), Part: q.Get("part"), From: q.Get("from"), To: q.Get("to")})
		s.respond(w, res, err)
	case "/api/rows-feed":
		time.Sleep(readTime)
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		res, err := s.rows.Changes(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		s.respond(w, res, err)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body wireTransaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var tx rowstore.Transaction
	for _, c := range body.Expect {
		tx.Conditions = append(tx.Conditions, rowstore.Condition{Key: c.key(), Version: c.Version})
	}
	for _, p := range body.Put {
		if p.Table == "op" || p.Table == registryTable {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		tx.Puts = append(tx.Puts, rowstore.Put{Key: p.key(), Value: p.Value})
	}
	for _, d := range body.Remove {
		tx.Deletes = append(tx.Deletes, d.key())
	}
	time.Sleep(transactionTime)
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	version, err := s.rows.Commit(r.Context(), tx)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		s.writeResult(w, http.StatusPreconditionFailed, rowstore.Result{Rows: conflict.Rows})
		return
	}
	if err == nil && s.onCommit != nil {
		s.onCommit(tx)
	}
	s.respond(w, rowstore.Result{Version: version, Now: time.Since(s.started)}, err)
}

func (s *store) respond(w http.ResponseWriter, res rowstore.Result, err error) {
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.writeResult(w, http.StatusOK, res)
}

func (s *store) writeResult(w http.ResponseWriter, status int, res rowstore.Result) {
	rows := []wireRow{}
	for _, r := range res.Rows {
		rows = append(rows, wireRow{r.Key.Table, r.Key.Part, r.Key.Key, r.Value, r.Version, r.Deleted})
	}
	writeJSON(w, status, map[string]any{"rows": rows, "has-more": res.More, "ver": res.Version, "now-ms": res.Now.Milliseconds() + 1000})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
