//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	recutID     = "00000000000cab10"
	recutWork   = 6 * time.Second
	lateOrder   = 7500 * time.Millisecond // after which the first order is carried out
	cutAfter    = 300 * time.Millisecond  // from the answer to the second order
	rebornAfter = 500 * time.Millisecond  // from the beginning of the cut
	cutTime     = 9 * time.Second
	// lateOrders is the largest share of orders that are late, in lateWindow from the first one.
	lateOrders = 0.063
	lateWindow = 5500 * time.Millisecond
)

// recut is the disruption: the runner that gets the first order for the task leaves it without an
// answer and carries it out late. Soon after it has carried out the second one, it is cut off,
// crashes behind the cut and starts again under its id.
type recut struct {
	d *deployment

	mu     sync.Mutex
	target *runner
	orders int  // to start the task
	cut    bool // the target gets nothing and sends nothing
	// all counts the orders to start anything in lateWindow from lateAt on, when the late one came.
	all    int
	lateAt time.Time
}

// intercept handles the calls of one runner.
func (c *recut) intercept(r *runner, w http.ResponseWriter, req *http.Request, body callBody) bool {
	c.mu.Lock()
	isStart := req.URL.Path == "/api/run-start" && strings.HasPrefix(body.Task, recutID+".")
	if isStart && c.lateAt.IsZero() {
		c.lateAt = time.Now()
	}
	if req.URL.Path == "/api/run-start" && !c.lateAt.IsZero() && time.Since(c.lateAt) < lateWindow {
		c.all++
	}
	if isStart && c.target == nil {
		c.target = r
	}
	if r != c.target {
		c.mu.Unlock()
		return false
	}
	cut := c.cut
	if isStart && !cut {
		c.orders++
	}
	number := c.orders
	c.mu.Unlock()
	switch {
	case cut:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case isStart && number == 1:
		r.rec.write("%s: order to start run %d of %s gets no answer and is carried out %v later", r.id, body.Run, body.Task, lateOrder)
		time.AfterFunc(lateOrder, func() {
			reason, _ := r.execute("/api/run-start", body)
			r.rec.write("%s: the late order is carried out, %q", r.id, reason)
		})
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case isStart && number == 2:
		time.AfterFunc(cutAfter, func() { c.cutOff(r) })
	}
	return false
}

// cutOff cuts the runner off from all machines and the store for cutTime.
func (c *recut) cutOff(r *runner) {
	c.setCut(true)
	r.rec.write("%s is cut off for %v", r.id, cutTime)
	time.AfterFunc(rebornAfter, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for task := range r.running {
			if r.onEnd != nil {
				r.onEnd(r, task)
			}
		}
		close(r.changed)
		r.reset()
		r.rec.write("%s has crashed and started again under its id", r.id)
	})
	time.AfterFunc(3*heartbeat, func() { c.d.store.write("servers", r.id, nil) })
	time.AfterFunc(cutTime, func() {
		c.setCut(false)
		r.rec.write("%s is no longer cut off", r.id)
		c.d.register(r)
	})
}

func (c *recut) isCut(r *runner) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut && r == c.target
}

func (c *recut) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// playRecut hands in a job of one task, beside ordinary jobs on other runners, and watches whether two runs of it go on at the same time.
func playRecut(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := deploy(ctx, rec, 12, 32000, 3, 0, func(task string, _ int) taskPlan {
		if strings.HasPrefix(task, recutID+".") {
			return taskPlan{work: recutWork}
		}
		return taskPlan{work: ordinaryWork}
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	running := map[string]string{} // runner by task
	var broken string
	disruption := &recut{d: d}
	for i, r := range d.runners {
		r.mu.Lock()
		if i < 2 {
			r.kind = longLabel // the others have the ordinary jobs
		}
		r.onStart = func(r *runner, task string) {
			mu.Lock()
			defer mu.Unlock()
			if other := running[task]; other != "" && broken == "" {
				broken = fmt.Sprintf("TWICE: %s starts on %s while a run of it goes on on %s", task, r.id, other)
			}
			running[task] = r.id
		}
		r.onEnd = func(r *runner, task string) {
			mu.Lock()
			defer mu.Unlock()
			if running[task] == r.id {
				delete(running, task)
			}
		}
		if trouble {
			r.intercept, r.isCut = disruption.intercept, disruption.isCut
		}
		r.mu.Unlock()
		d.register(r)
	}
	c := newClients(d)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { c.ordinaryTraffic(stop, "a") })
	defer func() {
		close(stop)
		traffic.Wait()
	}()
	if err := sleep(ctx, 2*time.Second); err != nil {
		return "", err
	}
	if !c.submit(recutID, map[string]any{"spec": "once only", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem-mb": 256, "estimate-ms": recutWork.Milliseconds(), "requires": longLabel}}}) {
		return "", errors.New("the job was not accepted")
	}
	if err := sleep(ctx, 30*time.Second); err != nil {
		return "", err
	}
	rec.write("the job is shown as %s", c.state(recutID))
	disruption.mu.Lock()
	all := disruption.all
	disruption.mu.Unlock()
	rec.write("1 of %d orders was late", all)
	if trouble && lateOrders*float64(all) < 1 {
		return "", errors.New("the disruption exceeded its share")
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}
