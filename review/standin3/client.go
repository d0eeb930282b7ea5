//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// client calls the entry instances as the platform's clients do.
type client struct {
	world *world
	http  *http.Client
	nodes func() []*node
}

func newClient(w *world, nodes func() []*node) *client {
	return &client{world: w, http: &http.Client{Timeout: 3 * time.Second}, nodes: nodes}
}

// call sends a request to one node and returns the status, zero if there was no answer.
func (c *client) call(n *node, method string, q *queue, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.front+q.prefix+id, bytes.NewReader(body))
	if err != nil {
		cannotRun(err)
	}
	req.Host = q.host
	req.Header.Set("X-Bergamotstile-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// submit hands a job in, with up to four retries at other nodes, and reports whether it was accepted.
func (c *client) submit(j *job) bool {
	body, err := json.Marshal(j)
	if err != nil {
		cannotRun(err)
	}
	c.world.mu.Lock()
	c.world.jobs[j.id] = j
	c.world.mu.Unlock()
	refusals, tries := 0, 0
	for try := range 5 {
		nodes := c.nodes()
		if len(nodes) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		tries++
		n := nodes[(int(j.id[0])+try)%len(nodes)]
		status, _ := c.call(n, http.MethodPost, j.queue, j.id, body)
		c.world.note("POST %s at %s: %d", j.id, n.name, status)
		if status/100 == 2 {
			c.world.mu.Lock()
			j.accepted, j.acceptedAt = true, time.Now()
			c.world.mu.Unlock()
			return true
		}
		if status == 429 || status == 503 || status == 404 || status == 400 || status == 409 {
			refusals++
		}
		time.Sleep(300 * time.Millisecond)
	}
	if refusals == tries {
		c.world.mu.Lock()
		j.rejected = true
		c.world.mu.Unlock()
	}
	return false
}

// state asks for the state of a job.
func (c *client) state(j *job) (string, int) {
	for try := range 4 {
		nodes := c.nodes()
		if len(nodes) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		status, data := c.call(nodes[try%len(nodes)], http.MethodGet, j.queue, j.id, nil)
		if status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &body)
			return body.State, status
		}
		if status == http.StatusGone {
			return "", status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", 0
}

// cancel cancels a job.
func (c *client) cancel(j *job) {
	c.world.mu.Lock()
	j.cancelSent = true
	c.world.mu.Unlock()
	for try := range 5 {
		nodes := c.nodes()
		if len(nodes) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		status, _ := c.call(nodes[try%len(nodes)], http.MethodDelete, j.queue, j.id, nil)
		c.world.note("DELETE %s: %d", j.id, status)
		if status/100 == 2 || status == http.StatusGone {
			c.world.mu.Lock()
			j.cancelled, j.cancelledAt = true, time.Now()
			c.world.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
