//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// clients call the instances in turn, as the platform's balancer would forward them.
type clients struct {
	d    *deployment
	http *http.Client
	next atomic.Int64
}

// newClients returns clients that wait for an answer for 3 s, as those of the deployment do.
func newClients(d *deployment) *clients {
	return &clients{d: d, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// call sends a call to the next instance that is ready, and returns the status (zero without a
// complete answer) and the body.
func (c *clients) call(method, id string, body any) (int, map[string]any) {
	inst := c.d.instances[int(c.next.Add(1))%len(c.d.instances)]
	return c.callTo(inst, method, id, body)
}

func (c *clients) callTo(inst *instance, method, id string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // plain values
	}
	req, err := http.NewRequest(method, "http://"+inst.front+routePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Bergamotstile-Deadline-Ms", "3000")
	res, err := c.http.Do(req)
	if err != nil {
		c.d.rec.write("%s %s to %s: no answer", method, id, inst.name)
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	c.d.rec.write("%s %s to %s: %d %s", method, id, inst.name, res.StatusCode, text)
	var answer map[string]any
	_ = json.Unmarshal(text, &answer)
	return res.StatusCode, answer
}

// submit hands a job in, with up to 4 retries at other instances, and reports whether it was
// accepted.
func (c *clients) submit(id string, job any) bool {
	for range 5 {
		status, _ := c.call(http.MethodPost, id, job)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns the state of a job that an instance shows, or an empty string without one.
func (c *clients) state(id string) string {
	for range 5 {
		status, answer := c.call(http.MethodGet, id, nil)
		if status == http.StatusOK {
			s, _ := answer["state"].(string)
			return s
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
