//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	upkeepTime = 2 * time.Second
	leaseMS    = 3 * time.Second // lease-ms: least time between orders of two holders for a machine
)

// machine is a machine of the platform.
type machine struct {
	id      string
	runner  string
	state   string // up, upkeep
	leaving bool
	token   uint64
	begun   map[int]bool
	wave    int
	holder  string
	at      time.Time // of the last order
}

type waveRequest struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	FinishBy float64  `json:"finish-by-s"`
	MaxCount int      `json:"max-count"`
}

// cloud is a stand-in for the platform's interface to its machines, and for the advice service.
type cloud struct {
	world *world
	// onDown ends what runs on a machine, onUp starts its next runner and returns its id.
	onDown func(machine string)
	onUp   func(machine string) string

	mu       sync.Mutex
	machines map[string]*machine
	waves    map[int]waveRequest
	holders  map[uint64]string
	orders   int
	adviceMu sync.Mutex
	valid    time.Duration
}

func newCloud(w *world) *cloud {
	return &cloud{world: w, machines: map[string]*machine{}, waves: map[int]waveRequest{}, holders: map[uint64]string{}, valid: 4 * time.Second}
}

func (c *cloud) add(id, runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[id] = &machine{id: id, runner: runner, state: "up", begun: map[int]bool{}}
}

func (c *cloud) request(w waveRequest) {
	c.mu.Lock()
	c.waves[w.Wave] = w
	c.mu.Unlock()
	c.world.store.put("op", "wave/"+strconv.Itoa(w.Wave), w)
	c.world.note("operator requests wave %d of %v, at most %d at once", w.Wave, w.Machines, w.MaxCount)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/machines":
		c.mu.Lock()
		rows := []map[string]any{}
		for _, id := range slices.Sorted(func(yield func(string) bool) {
			for id := range c.machines {
				if !yield(id) {
					return
				}
			}
		}) {
			m := c.machines[id]
			rows = append(rows, map[string]any{"machine": m.id, "pool": serviceName, "state": m.state, "zone": "z1", "id": m.runner})
		}
		c.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next-token": ""})
	case "/api/machine-upkeep":
		c.serveUpkeep(w, r)
	case "/api/advise":
		c.serveAdvice(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Bergamotstile-Fence-Token"), 10, 64)
	holder := r.Header.Get("X-Bergamotstile-Duty-Holder")
	c.mu.Lock()
	status, reason := c.execute(body.Machine, body.Wave, token, holder)
	c.mu.Unlock()
	c.world.note("upkeep of %s for wave %d ordered by %s with token %d: %d %s", body.Machine, body.Wave, holder, token, status, reason)
	writeJSON(w, status, map[string]any{"reason": reason})
}

// execute carries out an order. The caller holds mu.
func (c *cloud) execute(id string, wave int, token uint64, holder string) (int, string) {
	c.orders++
	m := c.machines[id]
	if m == nil {
		return http.StatusBadRequest, ""
	}
	if other, ok := c.holders[token]; ok && other != holder {
		c.world.broken("ONE", "%s and %s order with token %d", other, holder, token)
	}
	c.holders[token] = holder
	if m.holder != "" && m.holder != holder && time.Since(m.at) < leaseMS {
		c.world.broken("ONE", "%s orders for %s %v after %s did, lease-ms is %v", holder, id, time.Since(m.at).Round(time.Millisecond), m.holder, leaseMS)
	}
	m.holder, m.at = holder, time.Now()
	if token < m.token {
		return http.StatusConflict, "fence"
	}
	m.token = token
	request, ok := c.waves[wave]
	switch {
	case !ok || !slices.Contains(request.Machines, id):
		return http.StatusConflict, "wave"
	case m.begun[wave]:
		return http.StatusOK, ""
	case m.state != "up" || m.leaving:
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, other := range c.machines {
		if other.state == "upkeep" && other.wave == wave {
			down++
		}
	}
	if down >= request.MaxCount {
		c.world.broken("LIMIT", "upkeep of %s begins while %d machines of wave %d are down", id, down, wave)
	}
	m.begun[wave], m.state, m.wave, m.runner = true, "upkeep", wave, ""
	go c.onDown(id)
	time.AfterFunc(upkeepTime, func() {
		runner := c.onUp(id)
		c.mu.Lock()
		m.state, m.runner, m.wave = "up", runner, 0
		c.mu.Unlock()
	})
	return http.StatusOK, ""
}

func (c *cloud) serveAdvice(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.adviceMu.Lock()
	time.Sleep(20*time.Millisecond + time.Duration(len(body.Workers))*5*time.Millisecond)
	c.adviceMu.Unlock()
	good := [][2]string{}
	c.world.mu.Lock()
	for _, id := range body.Workers {
		if strings.HasSuffix(id, "x") {
			continue
		}
		text := fmt.Sprintf("t-%s-%s", body.Step, id)
		c.world.tickets[body.Step+"|"+id+"|"+text] = time.Now().Add(c.valid)
		good = append(good, [2]string{id, text})
	}
	c.world.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid-ms": c.valid.Milliseconds()})
}
