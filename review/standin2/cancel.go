//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	cancelTime  = 3 * time.Second         // cancel_ms
	contactTime = 3 * time.Second         // contact-ms
	lateTime    = 5500 * time.Millisecond // after which the store carries a write out without an answer
	lostShare   = 0.35                    // largest share of writes that get no answer
	cancelledID = "00000000000cafe0"
)

// lostWrites is the disruption: the store answers none of the writes of one job, and carries them
// out late if their conditions still hold then.
type lostWrites struct {
	d   *deployment
	job string

	mu          sync.Mutex
	lost, total int
	last        time.Time // when the last lost write arrived
}

// fault implements deployment.storeFault.
func (l *lostWrites) fault(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/api/rows-tx" {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.mu.Lock()
	l.total++
	isLost := strings.Contains(string(body), l.job)
	if isLost {
		l.lost++
		l.last = time.Now()
	}
	l.mu.Unlock()
	if !isLost {
		return false
	}
	l.d.rec.write("store: a write of job %s gets no answer and is carried out %v later", l.job, lateTime)
	time.AfterFunc(lateTime, func() {
		late := &http.Request{Method: r.Method, URL: r.URL, Header: r.Header, Body: io.NopCloser(bytes.NewReader(body))}
		answer := &statusRecorder{header: http.Header{}}
		l.d.store.ServeHTTP(answer, late)
		l.d.rec.write("store: the late write of job %s ends with status %d", l.job, answer.status)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// statusRecorder keeps the status of an answer that nobody gets.
type statusRecorder struct {
	header http.Header
	status int
}

func (s *statusRecorder) Header() http.Header         { return s.header }
func (s *statusRecorder) Write(b []byte) (int, error) { return len(b), nil }
func (s *statusRecorder) WriteHeader(status int)      { s.status = status }

// playCancel hands one job in and cancels it once its submission has been answered or its client
// has waited for 3 s. With the disruption, the store loses the answers to the writes of the
// submission.
func playCancel(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := deploy(ctx, rec, 12, 32000, 3, 0, func(string, int) taskPlan { return taskPlan{work: ordinaryWork} })
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	var starts []time.Time
	for _, r := range d.runners {
		r.mu.Lock()
		r.onStart = func(_ *runner, task string) {
			if strings.HasPrefix(task, cancelledID+".") {
				mu.Lock()
				starts = append(starts, time.Now())
				mu.Unlock()
			}
		}
		r.mu.Unlock()
	}
	c := newClients(d)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { c.ordinaryTraffic(stop, "") })
	defer func() {
		close(stop)
		traffic.Wait()
	}()
	if err := sleep(ctx, 5*time.Second); err != nil {
		return "", err
	}
	writes := &lostWrites{d: d, job: cancelledID}
	if trouble {
		d.setStoreFault(writes.fault)
	}
	status, _ := c.callTo(d.instances[0], http.MethodPost, cancelledID, map[string]any{"spec": "to be cancelled", "steps": []any{map[string]any{"count": 4, "cpu": 2000, "mem-mb": 256, "estimate-ms": 300}}})
	d.setStoreFault(nil)
	writes.mu.Lock()
	lost, total := writes.lost, writes.total
	writes.mu.Unlock()
	rec.write("the submission was answered with %d; %d of %d writes were lost", status, lost, total)
	if trouble && float64(lost) > lostShare*float64(total) {
		return "", errors.New("the disruption exceeded its share")
	}
	var acknowledged time.Time
	for acknowledged.IsZero() {
		status, _ := c.callTo(d.instances[1], http.MethodDelete, cancelledID, nil)
		if status == http.StatusGone || status >= 200 && status < 300 {
			acknowledged = time.Now()
		} else if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := sleep(ctx, lateTime+cancelTime+contactTime); err != nil {
		return "", err
	}
	mu.Lock()
	defer mu.Unlock()
	for _, at := range starts {
		inTouch := !trouble || at.Sub(writes.last) > contactTime
		if since := at.Sub(acknowledged); since > cancelTime && inTouch {
			return fmt.Sprintf("UNASKED: %d tasks of the job started, the first counted one %v after its cancelling was acknowledged and %v after the last lost answer", len(starts), since, at.Sub(writes.last)), nil
		}
	}
	return "", nil
}

// ordinaryTraffic hands in ordinary jobs, which may require a label, until stop is closed.
func (c *clients) ordinaryTraffic(stop <-chan struct{}, label string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		job := ordinaryJob()
		if label != "" {
			job["steps"].([]any)[0].(map[string]any)["requires"] = label
		}
		c.submit(fmt.Sprintf("%016x", 0xabc0000+n), job)
	}
}

// ordinaryJob returns a job of three short tasks.
func ordinaryJob() map[string]any {
	return map[string]any{"spec": "ordinary", "steps": []any{map[string]any{"count": 3, "cpu": ordinaryCPU, "mem-mb": 256, "estimate-ms": 300}}}
}
