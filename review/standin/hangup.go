//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// balancer forwards new connections to the instances that are in rotation: those that have
// not missed the last two probes of their readiness, which are sent once per second.
type balancer struct {
	d      *deployment
	mu     sync.Mutex
	misses map[*instance]int
}

func (b *balancer) probe() {
	client := &http.Client{Timeout: time.Second}
	for range time.Tick(time.Second) {
		for _, inst := range b.d.instances {
			res, err := client.Get("http://" + inst.readiness + "/api/ready")
			isReady := err == nil && res.StatusCode == http.StatusOK
			if err == nil {
				_ = res.Body.Close()
			}
			b.mu.Lock()
			if isReady {
				b.misses[inst] = 0
			} else {
				b.misses[inst]++
			}
			b.mu.Unlock()
		}
	}
}

// dial opens a connection to an instance that is in rotation.
func (b *balancer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	b.mu.Lock()
	var inRotation []*instance
	for _, inst := range b.d.instances {
		if b.misses[inst] < 2 {
			inRotation = append(inRotation, inst)
		}
	}
	b.mu.Unlock()
	if len(inRotation) == 0 {
		inRotation = b.d.instances
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", inRotation[rand.IntN(len(inRotation))].front)
}

// playHangup stops one instance by SIGTERM beside a steady load. With trouble, the instance
// gets SIGHUP half a second later, as its settings file has changed.
func playHangup(rec *record, trouble bool) int {
	const (
		clients   = 150
		lossSlack = 200 * time.Millisecond // loss-slack-ms
		grace     = 6 * time.Second        // grace-s
	)
	d, err := startDeployment(rec, 9, 4, 32000, 64000, 3, func(string, string) work { return work{takes: 100 * time.Millisecond} })
	defer d.stop()
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	d.store.queueParts.Store(true)
	b := &balancer{d: d, misses: map[*instance]int{}}
	go b.probe()
	victim := d.instances[0]
	job, _ := json.Marshal(map[string]any{"spec": "small", "steps": []any{map[string]any{"count": 1, "cpu": 100, "mem-mb": 64, "estimate-ms": 100}}})
	var answered, accepted, lostAtVictim, cutAtVictim, cutElsewhere atomic.Int64
	var stop atomic.Bool
	var isTold atomic.Bool // the victim has got SIGTERM
	var wg sync.WaitGroup
	send := func(client *http.Client, id string) {
		var wroteAt time.Time
		var address string
		trace := &httptrace.ClientTrace{
			GotConn:      func(info httptrace.GotConnInfo) { address = info.Conn.RemoteAddr().String() },
			WroteRequest: func(httptrace.WroteRequestInfo) { wroteAt = time.Now() },
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		req, _ := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://vip"+prefix+id, bytes.NewReader(job))
		req.Host = host
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Bergamotstile-Deadline-Ms", "3000")
		req.GetBody = nil // a request that is cut off is not repeated by the client library
		res, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		switch {
		case err == nil:
			answered.Add(1)
			if res.StatusCode == http.StatusOK {
				accepted.Add(1)
			} else {
				time.Sleep(time.Second) // as the answer's Retry-After says
			}
			return
		case wroteAt.IsZero() || ctx.Err() != nil:
			return // not sent as a whole, or the client's deadline has passed
		}
		age := time.Since(wroteAt)
		if address != victim.front {
			cutElsewhere.Add(1)
			rec.add("client: POST %s: cut off after %v at %s: %v", id, age, address, err)
			return
		}
		cutAtVictim.Add(1)
		if age > lossSlack && isTold.Load() {
			lostAtVictim.Add(1)
		}
		rec.add("client: POST %s: cut off %v after its last byte was sent, at %s, which was told to stop: %v", id, age, victim.name, err)
	}
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{DialContext: b.dial, MaxIdleConnsPerHost: 1}}
			for n := 0; !stop.Load(); n++ {
				send(client, jobID(1_000_000*(c+1)+n))
			}
		}()
	}
	time.Sleep(5 * time.Second)
	before := answered.Load()
	time.Sleep(time.Second)
	rec.say("%d clients get %d answers a second", clients, answered.Load()-before)
	termAt := time.Now()
	isTold.Store(true)
	rec.say("%s gets SIGTERM", victim.name)
	_ = victim.cmd.Process.Signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(500 * time.Millisecond)
		rec.say("%s gets SIGHUP", victim.name)
		_ = victim.cmd.Process.Signal(syscall.SIGHUP)
	}
	ended := make(chan *os.ProcessState, 1)
	go func() { state, _ := victim.cmd.Process.Wait(); ended <- state }()
	select {
	case state := <-ended:
		rec.say("%s ended %.3f s after SIGTERM: %v", victim.name, time.Since(termAt).Seconds(), state)
	case <-time.After(grace):
		_ = victim.cmd.Process.Kill()
		rec.say("%s was killed after its grace", victim.name)
	}
	time.Sleep(time.Second)
	stop.Store(true)
	wg.Wait()
	rec.say("%d requests were answered, %d of them accepted; %d were cut off at other instances", answered.Load(), accepted.Load(), cutElsewhere.Load())
	rec.say("LOST: %d requests were cut off at %s, %d of them later than %v after their last byte was sent", cutAtVictim.Load(), victim.name, lostAtVictim.Load(), lossSlack)
	if lostAtVictim.Load() > 0 {
		return ruleBroken
	}
	return ruleHeld
}
