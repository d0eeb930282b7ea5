//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
)

const (
	rowBytes    = 65536 // row-bytes of the settings
	answerDelay = 4 * time.Millisecond
)

// store is the repository's stand-in of the store, with row-bytes enforced and an outage
// that can be switched on.
type store struct {
	*hostedtest.Store
	address  string
	down     atomic.Bool
	tooLarge atomic.Int64 // transactions refused because of a row over row-bytes
	rec      *record
}

func startStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: hostedtest.NewStore(1), address: listener.Addr().String(), rec: rec}
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
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.Store.ServeHTTP(w, r)
}
