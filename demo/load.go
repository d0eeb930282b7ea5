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
	billedShare    = 0.02
	keyedShare     = 0.4
	duplicateShare = 0.05
	// maxTries is how often a call whose connection cannot be opened is
	// sent to another instance.
	maxTries = 3
)

// loadGenerator sends requests through the balancer and records every account.
type loadGenerator struct {
	plan     plan
	balancer *balancer
	seed     int64
	calls    history.Recorder

	mu             sync.Mutex
	proofLatencies []time.Duration // times of answered proofs
	brokenCalls    []string        // errors of calls without an account
	billedTokens   map[string]bool // tokens of billed requests
}

// runCallers runs the callers until ctx ends; calls in flight then end by
// themselves.
func (l *loadGenerator) runCallers(ctx context.Context) {
	var callersDone sync.WaitGroup
	for n := range callers {
		callersDone.Go(func() { l.runCaller(ctx, n) })
	}
	callersDone.Wait()
}

func (l *loadGenerator) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(uint64(l.seed), uint64(n)))
	name := fmt.Sprintf("caller-%d", n)
	for i := 0; ctx.Err() == nil; i++ {
		token := fmt.Sprintf("%s-%d", name, i)
		draw := random.Float64()
		switch {
		case draw < billedShare && l.plan.billedKind != "":
			l.recordBilled(token)
			l.sendAndRecord(l.plan.billedKind, token, true, name)
		case draw < billedShare+duplicateShare:
			var duplicate sync.WaitGroup
			duplicate.Go(func() { l.sendAndRecord(l.plan.proofKind, token, true, name) })
			l.sendAndRecord(l.plan.proofKind, token, true, name)
			duplicate.Wait()
		default:
			l.sendAndRecord(l.plan.proofKind, token, draw < keyedShare, name)
		}
		sleep(ctx, time.Duration((0.5+random.Float64())*float64(callerPause)))
	}
}

func (l *loadGenerator) recordBilled(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.billedTokens[token] = true
}

// sendAndRecord sends one request, whose body is the token that the answer must
// carry, and records the account of it.
func (l *loadGenerator) sendAndRecord(kind, token string, withKey bool, caller string) {
	headers := map[string]string{structs.HeaderCaller: caller}
	if withKey {
		headers[structs.HeaderIdempotencyKey] = token
	}
	path := "/v1/requests/" + l.plan.service + "/" + kind
	startedAt := time.Now()
	c := history.Call{Work: token, Idempotent: kind == l.plan.proofKind, Want: token, Start: startedAt.UnixNano()}
	e, httpStatus, body, err := l.sendWithRetry(path, headers, []byte(token))
	latency := time.Since(startedAt)
	c.End = startedAt.Add(latency).UnixNano()
	switch {
	case standin.Unsent(err):
		c.Unsent = true
	case err != nil:
		c.Broken = true
		l.recordBroken(fmt.Sprintf("%s at %s: %v", token, e.settings.Name, err))
	case httpStatus == http.StatusOK:
		c.Answered, c.Got = true, echoedBody(body)
	default:
		c.Outcome, c.Reason = decodeRefusal(body)
	}
	l.calls.Add(c)
	if c.Answered && c.Idempotent {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.proofLatencies = append(l.proofLatencies, latency)
	}
}

func (l *loadGenerator) recordBroken(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokenCalls = append(l.brokenCalls, description)
}

// sendWithRetry tries another instance if the connection cannot be opened, as a
// balancer does. It returns the instance that was asked last.
func (l *loadGenerator) sendWithRetry(path string, headers map[string]string, body []byte) (e *entryInstance, httpStatus int, answer []byte, err error) {
	for range maxTries {
		e = l.balancer.pickInstance()
		httpStatus, answer, err = sendRequest(context.Background(), http.MethodPost, e, path, headers, body)
		if !standin.Unsent(err) {
			break
		}
	}
	return e, httpStatus, answer, err
}

// echoedBody returns the echoed body of a runner's answer, which names the
// runner and the request first.
func echoedBody(answer []byte) string {
	fields := strings.Fields(string(answer))
	if len(fields) == 0 {
		return ""
	}
	return fields[len(fields)-1]
}

func decodeRefusal(body []byte) (structs.Outcome, structs.Reason) {
	var r structs.Refusal
	if json.Unmarshal(body, &r) != nil || r.Outcome == "" {
		return structs.OutcomeMayHaveRun, structs.ReasonInternal
	}
	return r.Outcome, r.Reason
}
