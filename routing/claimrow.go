package routing

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// claimState is what a claim row records about its request.
type claimState string

const (
	// claimOpen marks a request that may have been dispatched or may be
	// dispatched at any moment.
	claimOpen claimState = "open"
	// claimAnswered marks a request that ran and was answered.
	claimAnswered claimState = "answered"
	// claimRefused marks a request that may have run, but for which there is no
	// answer.
	claimRefused claimState = "refused"
	// claimNotRun marks a request that was not dispatched and never will be.
	// The row is kept, so that a delayed copy of the claim's write fails on its
	// version.
	claimNotRun claimState = "not_run"
)

// claimRow is the stored value of a claim.
type claimRow struct {
	WriteID     string     `json:"write_id"`
	Claim       string     `json:"claim"` // identifies the attempt that made the claim
	State       claimState `json:"state"`
	Epoch       uint64     `json:"epoch"`
	Fingerprint string     `json:"fingerprint"`
	RequestID   string     `json:"request_id"`
	Runner      string     `json:"runner,omitempty"`
	Answer      []byte     `json:"answer,omitempty"`
	// Object is the name of the object that holds an answer too large for the
	// row.
	Object string `json:"object,omitempty"`
	// Unavailable is set if the request was answered but the answer could not
	// be stored.
	Unavailable bool             `json:"unavailable,omitempty"`
	Digest      string           `json:"digest,omitempty"` // SHA-256 of the answer, in hexadecimal digits
	Refusal     *structs.Refusal `json:"refusal,omitempty"`
}

func claimKey(shard structs.ShardID, key string) string {
	return fmt.Sprintf("claim/%s/%s", shard, key)
}

func answerObject(shard structs.ShardID, claimID string) string {
	return fmt.Sprintf("answer/%s/%s", shard, claimID)
}

func decodeClaim(row platform.Row) (claimRow, error) {
	var claim claimRow
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return claim, fmt.Errorf("claim row %q: %w", row.Key, err)
	}
	return claim, nil
}

func fingerprintText(req structs.Request) string {
	sum := fingerprint(req)
	return hex.EncodeToString(sum[:])
}
