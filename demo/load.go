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
	// callerCount is the number of concurrent callers. Each sends requests one
	// after the other, with a pause of about callerPause between them. Together
	// they send about 250 requests a second.
	callerCount = 16
	callerPause = 45 * time.Millisecond
	// Shares of all requests. keyedShare is the share of the requests with a key. It
	// includes billedShare and duplicateShare, the share of the requests that are
	// sent twice concurrently under one key.
	billedShare    = 0.02
	keyedShare     = 0.4
	duplicateShare = 0.05
	// maxTries bounds how often a request is sent in total. It is sent again only
	// if no connection could be opened.
	maxTries = 3
)

// loadGenerator sends requests through the balancer and records the answer,
// refusal or failure of each call.
type loadGenerator struct {
	plan     plan
	balancer *balancer
	seed     int64
	calls    history.Recorder

	mu             sync.Mutex
	proofLatencies []time.Duration // time from call to answer of each answered proof
	brokenCalls    []string        // errors of calls that got neither an answer nor a refusal
	billedTokens   map[string]bool // tokens of the billed requests
}

// runCallers runs the callers until ctx ends. It then waits for the answers to the
// calls in flight, which are not cancelled.
func (l *loadGenerator) runCallers(ctx context.Context) {
	var callersDone sync.WaitGroup
	for n := range callerCount {
		callersDone.Go(func() { l.runCaller(ctx, n) })
	}
	callersDone.Wait()
}

// runCaller sends the requests of caller n until ctx ends. Each request has a
// token that no other request has, except its duplicate.
func (l *loadGenerator) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(uint64(l.seed), uint64(n)))
	name := fmt.Sprintf("caller-%d", n)
	for i := 0; ctx.Err() == nil; i++ {
		token := fmt.Sprintf("%s-%d", name, i)
		draw := random.Float64()
		switch {
		case draw < billedShare && l.plan.nonIdempotentKind != "":
			l.recordBilled(token)
			l.sendAndRecord(l.plan.nonIdempotentKind, token, true, name)
		case draw < billedShare+duplicateShare:
			var duplicate sync.WaitGroup
			duplicate.Go(func() { l.sendAndRecord(l.plan.idempotentKind, token, true, name) })
			l.sendAndRecord(l.plan.idempotentKind, token, true, name)
			duplicate.Wait()
		default:
			l.sendAndRecord(l.plan.idempotentKind, token, draw < keyedShare, name)
		}
		sleep(ctx, time.Duration((0.5+random.Float64())*float64(callerPause)))
	}
}

// recordBilled records the token of a billed request.
func (l *loadGenerator) recordBilled(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.billedTokens[token] = true
}

// sendAndRecord sends one request and records how the call ended. The token is the
// body of the request, and also its idempotency key if withKey is set. The answer
// must contain the token.
func (l *loadGenerator) sendAndRecord(kind, token string, withKey bool, caller string) {
	headers := map[string]string{structs.HeaderCaller: caller}
	if withKey {
		headers[structs.HeaderIdempotencyKey] = token
	}
	path := "/v1/requests/" + l.plan.service + "/" + kind
	startedAt := time.Now()
	c := history.Call{Work: token, Idempotent: kind == l.plan.idempotentKind, Want: token, Start: startedAt.UnixNano()}
	e, httpStatus, body, err := l.sendWithRetry(path, headers, []byte(token))
	latency := time.Since(startedAt)
	c.End = startedAt.Add(latency).UnixNano()
	switch {
	case standin.IsDialError(err):
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

// recordBroken records a call that got neither an answer nor a refusal.
func (l *loadGenerator) recordBroken(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokenCalls = append(l.brokenCalls, description)
}

// sendWithRetry sends a request to the instance that the balancer picks. If no
// connection can be opened, it lets the balancer pick again, as a load balancer
// does. It returns the instance of the last try and its answer or error.
func (l *loadGenerator) sendWithRetry(path string, headers map[string]string, body []byte) (e *entryInstance, httpStatus int, answer []byte, err error) {
	for range maxTries {
		e = l.balancer.pickInstance()
		httpStatus, answer, err = sendRequest(context.Background(), http.MethodPost, e, path, headers, body)
		if !standin.IsDialError(err) {
			break
		}
	}
	return e, httpStatus, answer, err
}

// echoedBody returns the request's body from a runner's answer. The answer
// consists of the name of the runner, the service and kind of the request, and
// the request's body, separated by spaces.
func echoedBody(answer []byte) string {
	fields := strings.Fields(string(answer))
	if len(fields) == 0 {
		return ""
	}
	return fields[len(fields)-1]
}

// decodeRefusal returns the outcome and the reason of the refusal in an answer's
// body. For a body that is not a refusal, it returns that the request may have run.
func decodeRefusal(body []byte) (structs.Outcome, structs.Reason) {
	var refusal structs.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Outcome == "" {
		return structs.OutcomeMayHaveRun, structs.ReasonInternal
	}
	return refusal.Outcome, refusal.Reason
}
