package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/entry"
	"bergamotstile/history"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

// callTimeout is the time after which a call to a process is abandoned if the process
// has not answered.
const callTimeout = 5 * time.Second

var httpCaller = standin.NewCaller(callTimeout)

// send sends one HTTP request and returns the status and body of the response.
func send(ctx context.Context, method, url string, headers map[string]string, body []byte) (int, []byte, error) {
	return httpCaller.Send(ctx, method, url, headers, body)
}

// Request sends one latency-critical request to an entry instance and returns a
// record of the call and its result. kind is KindIdempotent or KindBilled; the record
// counts requests of KindIdempotent, and no others, as idempotent. The request's body
// is a token that the answer must contain. The token is the key, or a unique text if
// the key is empty.
func (c *Cluster) Request(ctx context.Context, n *Node, kind, key, caller string) history.Call {
	headers := map[string]string{structs.HeaderCaller: caller}
	if key != "" {
		headers[structs.HeaderIdempotencyKey] = key
	}
	token := key
	if token == "" {
		token = caller + "-" + fmt.Sprint(time.Now().UnixNano())
	}
	call := history.Call{Work: token, Idempotent: kind == KindIdempotent, Want: token, Start: time.Now().UnixNano()}
	status, body, err := send(ctx, http.MethodPost, "http://"+n.Address+"/v1/requests/"+Service+"/"+kind, headers, []byte(token))
	call.End = time.Now().UnixNano()
	switch {
	case standin.IsDialError(err):
		call.Unsent = true
	case err != nil:
		call.Broken = true
	case status == http.StatusOK:
		call.Answered = true
		call.Got = c.echoedToken(string(body), kind)
	default:
		call.Outcome, call.Reason = decodeRefusal(body)
	}
	return call
}

// echoedToken returns the token from a runner's answer. A valid answer contains the
// name of a runner, the service and kind of the request, and the token. For any
// other answer, it returns the whole answer.
func (c *Cluster) echoedToken(body, kind string) string {
	fields := strings.Fields(body)
	if len(fields) != 3 || fields[1] != Service+"/"+kind {
		return body
	}
	isRunnerName := slices.ContainsFunc(c.Runners, func(n *Node) bool { return n.Name == fields[0] })
	if !isRunnerName {
		return body
	}
	return fields[2]
}

// decodeRefusal returns the outcome and reason of a refusal. For a body that is not
// a refusal, it returns that the request may have run, for an internal reason.
func decodeRefusal(body []byte) (structs.Outcome, structs.Reason) {
	var refusal structs.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Outcome == "" {
		return structs.OutcomeMayHaveRun, structs.ReasonInternal
	}
	return refusal.Outcome, refusal.Reason
}

// Submit submits a work item of a batch job and returns the status of the item, or false
// if the call was refused or not answered. runMS is the run time in milliseconds.
func (c *Cluster) Submit(ctx context.Context, n *Node, job, key string, runMS int, class declaration.ClassName) (structs.WorkStatus, bool) {
	body, _ := json.Marshal(map[string]any{
		"team": Team, "job": job, "class": class,
		"payload": []byte(fmt.Sprintf(`{"run_ms":%d}`, runMS)),
	})
	status, answer, err := send(ctx, http.MethodPost, "http://"+n.Address+"/v1/work",
		map[string]string{structs.HeaderIdempotencyKey: key}, body)
	return decodeStatus(status, answer, err)
}

// WorkStatus returns the status of a work item, or false if the call was refused or
// not answered.
func (c *Cluster) WorkStatus(ctx context.Context, n *Node, id structs.WorkID) (structs.WorkStatus, bool) {
	return decodeStatus(send(ctx, http.MethodGet, "http://"+n.Address+"/v1/work/"+string(id), nil, nil))
}

// Cancel cancels a work item and returns its status, or false if the call was
// refused or not answered.
func (c *Cluster) Cancel(ctx context.Context, n *Node, id structs.WorkID) (structs.WorkStatus, bool) {
	return decodeStatus(send(ctx, http.MethodDelete, "http://"+n.Address+"/v1/work/"+string(id), nil, nil))
}

// decodeStatus decodes the response to a call that returns a work status. It returns
// false for a failed call, a refusal or a body that cannot be decoded.
func decodeStatus(code int, body []byte, err error) (structs.WorkStatus, bool) {
	var status structs.WorkStatus
	if err != nil || code/100 != 2 || json.Unmarshal(body, &status) != nil {
		return status, false
	}
	return status, true
}

// Apply applies a declaration through an entry instance. It returns the version
// that was accepted, or the refusal. For a call without an answer, it returns a
// refusal whose outcome says that the declaration may have been applied. For a
// response that reports a failure without a refusal, it returns an empty refusal.
func (c *Cluster) Apply(ctx context.Context, n *Node, operator string, baseVersion uint64, deployment any) (uint64, *structs.Refusal) {
	data, err := json.Marshal(deployment)
	if err != nil {
		return 0, structs.NotRun(structs.ReasonBadRequest, "%v", err)
	}
	status, body, err := send(ctx, http.MethodPost, "http://"+n.Address+"/v1/declarations", map[string]string{
		callerapi.HeaderOperator: operator, callerapi.HeaderBaseVersion: fmt.Sprint(baseVersion)}, data)
	if err != nil {
		return 0, structs.MayHaveRun(structs.ReasonInternal, "%v", err)
	}
	if status/100 != 2 {
		var refusal structs.Refusal
		_ = json.Unmarshal(body, &refusal)
		return 0, &refusal
	}
	var applied callerapi.ApplyResponse
	_ = json.Unmarshal(body, &applied)
	return applied.Version, nil
}

// Status returns the status of an entry instance, as the instance reports it.
func (c *Cluster) Status(n *Node) (entry.Status, error) {
	var status entry.Status
	err := getJSON("http://"+n.Address+"/v1/status", &status)
	return status, err
}

// IsReady reports whether an entry instance answers that it is ready for requests. It
// returns false if the instance does not answer.
func (c *Cluster) IsReady(n *Node) bool {
	code, _, err := send(context.Background(), http.MethodGet, "http://"+n.Address+"/readyz", nil, nil)
	return err == nil && code == http.StatusOK
}

// getJSON sends a GET request and decodes the response, which must have status 200, into
// out.
func getJSON(url string, out any) error {
	code, body, err := send(context.Background(), http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, code)
	}
	return json.Unmarshal(body, out)
}

// Post sends a message, encoded as JSON, to a path of a worker or runner process, for
// example the faults that the process is to inject. It returns an error unless the
// process answers with a status that reports success.
func (c *Cluster) Post(n *Node, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	code, _, err := send(context.Background(), http.MethodPost, "http://"+n.Address+path, nil, body)
	if err == nil && code/100 != 2 {
		err = fmt.Errorf("%s: status %d", path, code)
	}
	return err
}
