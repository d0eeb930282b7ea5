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

// callLimit ends calls to processes that do not answer at all.
const callLimit = 5 * time.Second

var caller = standin.NewCaller(callLimit)

// send returns the status and body of an answer.
func send(ctx context.Context, method, url string, headers map[string]string, body []byte) (int, []byte, error) {
	return caller.Send(ctx, method, url, headers, body)
}

// Request sends one latency-critical request to an entry instance and returns
// the account of it. The body is the token that the answer must carry.
func (c *Cluster) Request(ctx context.Context, n *Node, kind, key, caller string) history.Call {
	headers := map[string]string{structs.HeaderCaller: caller}
	if key != "" {
		headers[structs.HeaderIdempotencyKey] = key
	}
	token := key
	if token == "" {
		token = caller + "-" + fmt.Sprint(time.Now().UnixNano())
	}
	call := history.Call{Work: token, Idempotent: kind == KindProof, Want: token, Start: time.Now().UnixNano()}
	status, body, err := send(ctx, http.MethodPost, "http://"+n.Address+"/v1/requests/"+Service+"/"+kind, headers, []byte(token))
	call.End = time.Now().UnixNano()
	switch {
	case standin.IsDialError(err):
		call.Unsent = true
	case err != nil:
		call.Broken = true
	case status == http.StatusOK:
		call.Answered = true
		call.Got = c.echoed(string(body), kind)
	default:
		call.Outcome, call.Reason = account(body)
	}
	return call
}

// echoed returns the token of a whole answer, which names the runner and the
// request before it, or the answer itself if it is anything else.
func (c *Cluster) echoed(body, kind string) string {
	fields := strings.Fields(body)
	if len(fields) != 3 || fields[1] != Service+"/"+kind {
		return body
	}
	known := slices.ContainsFunc(c.Runners, func(n *Node) bool { return n.Name == fields[0] })
	if !known {
		return body
	}
	return fields[2]
}

func account(body []byte) (structs.Outcome, structs.Reason) {
	var r structs.Refusal
	if json.Unmarshal(body, &r) != nil || r.Outcome == "" {
		return structs.OutcomeMayHaveRun, structs.ReasonInternal
	}
	return r.Outcome, r.Reason
}

// Submit submits a batch job and returns its account, or false if the call
// was refused or not answered.
func (c *Cluster) Submit(ctx context.Context, n *Node, job, key string, runMS int, class declaration.ClassName) (structs.WorkStatus, bool) {
	body, _ := json.Marshal(map[string]any{
		"team": Team, "job": job, "class": class,
		"payload": []byte(fmt.Sprintf(`{"run_ms":%d}`, runMS)),
	})
	status, answer, err := send(ctx, http.MethodPost, "http://"+n.Address+"/v1/work",
		map[string]string{structs.HeaderIdempotencyKey: key}, body)
	return decodeStatus(status, answer, err)
}

// Work asks for the account of a work item.
func (c *Cluster) Work(ctx context.Context, n *Node, id structs.WorkID) (structs.WorkStatus, bool) {
	return decodeStatus(send(ctx, http.MethodGet, "http://"+n.Address+"/v1/work/"+string(id), nil, nil))
}

// Cancel cancels a work item.
func (c *Cluster) Cancel(ctx context.Context, n *Node, id structs.WorkID) (structs.WorkStatus, bool) {
	return decodeStatus(send(ctx, http.MethodDelete, "http://"+n.Address+"/v1/work/"+string(id), nil, nil))
}

func decodeStatus(code int, body []byte, err error) (structs.WorkStatus, bool) {
	var status structs.WorkStatus
	if err != nil || code/100 != 2 || json.Unmarshal(body, &status) != nil {
		return status, false
	}
	return status, true
}

// Apply applies a declaration through an instance.
func (c *Cluster) Apply(ctx context.Context, n *Node, operator string, base uint64, d any) (uint64, *structs.Refusal) {
	file, err := json.Marshal(d)
	if err != nil {
		return 0, structs.NotRun(structs.ReasonBadRequest, "%v", err)
	}
	status, body, err := send(ctx, http.MethodPost, "http://"+n.Address+"/v1/declarations", map[string]string{
		callerapi.HeaderOperator: operator, callerapi.HeaderBaseVersion: fmt.Sprint(base)}, file)
	if err != nil {
		return 0, structs.MayHaveRun(structs.ReasonInternal, "%v", err)
	}
	if status/100 != 2 {
		var r structs.Refusal
		_ = json.Unmarshal(body, &r)
		return 0, &r
	}
	var applied callerapi.Applied
	_ = json.Unmarshal(body, &applied)
	return applied.Version, nil
}

// Status returns what an instance says of itself.
func (c *Cluster) Status(n *Node) (entry.Status, error) {
	var status entry.Status
	err := getJSON("http://"+n.Address+"/v1/status", &status)
	return status, err
}

// Ready reports whether an instance wants requests.
func (c *Cluster) Ready(n *Node) bool {
	code, _, err := send(context.Background(), http.MethodGet, "http://"+n.Address+"/readyz", nil, nil)
	return err == nil && code == http.StatusOK
}

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

// PostFaults sets the faults of a worker or runner process.
func (c *Cluster) PostFaults(n *Node, path string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	code, _, err := send(context.Background(), http.MethodPost, "http://"+n.Address+path, nil, body)
	if err == nil && code/100 != 2 {
		err = fmt.Errorf("%s: status %d", path, code)
	}
	return err
}
