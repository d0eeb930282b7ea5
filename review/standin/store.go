//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
)

const (
	rowBytes    = 65536 // row-bytes of the settings
	answerDelay = 4 * time.Millisecond
	// partWritesPerSecond and txTime are part-writes-s and tx-ms of the settings.
	partWritesPerSecond = 150
	txTime              = 8 * time.Millisecond
)

// store is the repository's stand-in of the store, with row-bytes enforced and an outage
// that can be switched on.
type store struct {
	*hostedtest.Store
	address  string
	down     atomic.Bool
	tooLarge atomic.Int64 // transactions refused because of a row over row-bytes
	rec      *record

	// queueParts makes the transactions of a part wait for each other, part-writes-s.
	queueParts atomic.Bool
	mu         sync.Mutex
	free       map[string]time.Time // by part: when the next transaction may begin
}

// awaitPart waits for the turn of a transaction in its part. It returns false if more than a
// second of transactions is waiting.
func (s *store) awaitPart(part string) bool {
	s.mu.Lock()
	turn := s.free[part]
	if now := time.Now(); turn.Before(now) {
		turn = now
	}
	wait := time.Until(turn)
	if wait > time.Second {
		s.mu.Unlock()
		return false
	}
	s.free[part] = turn.Add(time.Second / partWritesPerSecond)
	s.mu.Unlock()
	time.Sleep(wait + txTime)
	return true
}

func startStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: hostedtest.NewStore(1), address: listener.Addr().String(), rec: rec, free: map[string]time.Time{}}
	s.SetFaults(hostedtest.StoreFaults{Delay: answerDelay})
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s, nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/api/rows-tx" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var tx struct {
			Puts []struct {
				Table string `json:"table"`
				Part  string `json:"part"`
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"put"`
		}
		if err := json.Unmarshal(body, &tx); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, put := range tx.Puts {
			if len(put.Value) > rowBytes {
				if s.tooLarge.Add(1) <= 5 {
					s.rec.add("store: write of %s/%s refused with 400, its value has %d bytes, row-bytes is %d", put.Table, put.Key, len(put.Value), rowBytes)
				}
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		if s.queueParts.Load() && len(tx.Puts) > 0 && !s.awaitPart(tx.Puts[0].Part) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.Store.ServeHTTP(w, r)
}
