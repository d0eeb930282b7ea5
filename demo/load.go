package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

const (
	// callers send requests one after the other, each with a pause of about
	// callerPause, which gives about 250 requests a second together.
	callers     = 16
	callerPause = 45 * time.Millisecond
	// Of the requests, these parts are billed, keyed, and sent twice at once
	// under one key.
	billedShare = 0.02
	keyedShare  = 0.4
	twiceShare  = 0.05
	// balancerTries is how often a call whose connection cannot be opened is
	// sent to another instance.
	balancerTries = 3
)

// load sends requests through the balancer and records every account.
type load struct {
	plan     plan
	balancer *balancer
	seed     int64
	calls    history.Recorder

	mu     sync.Mutex
	proofs []time.Duration // times of answered proofs
	broken []string        // errors of calls without an account
	billed map[string]bool // tokens of billed requests
}

// serve runs the callers until ctx ends; calls in flight then end by
// themselves.
func (l *load) serve(ctx context.Context) {
	var callersDone sync.WaitGroup
	for n := range callers {
		callersDone.Go(func() { l.caller(ctx, n) })
	}
	callersDone.Wait()
}

func (l *load) caller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(uint64(l.seed), uint64(n)))
	name := fmt.Sprintf("caller-%d", n)
	for i := 0; ctx.Err() == nil; i++ {
		token := fmt.Sprintf("%s-%d", name, i)
		draw := random.Float64()
		switch {
		case draw < billedShare && l.plan.billed != "":
			l.noteBilled(token)
			l.request(l.plan.billed, token, true, name)
		case draw < billedShare+twiceShare:
			var second sync.WaitGroup
			second.Go(func() { l.request(l.plan.proof, token, true, name) })
			l.request(l.plan.proof, token, true, name)
			second.Wait()
		default:
			l.request(l.plan.proof, token, draw < keyedShare, name)
		}
		sleep(ctx, time.Duration((0.5+random.Float64())*float64(callerPause)))
	}
}

func (l *load) noteBilled(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.billed[token] = true
}

// request sends one request, whose body is the token that the answer must
// carry, and records the account of it.
func (l *load) request(kind, token string, keyed bool, caller string) {
	headers := map[string]string{structs.HeaderCaller: caller}
	if keyed {
		headers[structs.HeaderIdempotencyKey] = token
	}
	path := "/v1/requests/" + l.plan.service + "/" + kind
	begun := time.Now()
	c := history.Call{Work: token, Idempotent: kind == l.plan.proof, Want: token, Start: begun.UnixNano()}
	e, code, body, err := l.send(path, headers, []byte(token))
	took := time.Since(begun)
	c.End = begun.Add(took).UnixNano()
	switch {
	case standin.IsDialError(err):
		c.Unsent = true
	case err != nil:
		c.Broken = true
		l.noteBroken(fmt.Sprintf("%s at %s: %v", token, e.settings.Name, err))
	case code == http.StatusOK:
		c.Answered, c.Got = true, lastField(body)
	default:
		c.Outcome, c.Reason = refusal(body)
	}
	l.calls.Add(c)
	if c.Answered && c.Idempotent {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.proofs = append(l.proofs, took)
	}
}

func (l *load) noteBroken(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, what)
}

// send tries another instance if the connection cannot be opened, as a
// balancer does. It returns the instance that was asked last.
func (l *load) send(path string, headers map[string]string, body []byte) (e *instance, code int, answer []byte, err error) {
	for range balancerTries {
		e = l.balancer.pick()
		code, answer, err = send(context.Background(), http.MethodPost, e, path, headers, body)
		if !standin.IsDialError(err) {
			break
		}
	}
	return e, code, answer, err
}

// lastField returns the echoed body of a runner's answer, which names the
// runner and the request first.
func lastField(body []byte) string {
	fields := strings.Fields(string(body))
	if len(fields) == 0 {
		return ""
	}
	return fields[len(fields)-1]
}

func refusal(body []byte) (structs.Outcome, structs.Reason) {
	var r structs.Refusal
	if json.Unmarshal(body, &r) != nil || r.Outcome == "" {
		return structs.OutcomeMayHaveRun, structs.ReasonInternal
	}
	return r.Outcome, r.Reason
}
