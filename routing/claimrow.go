package routing

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// claimState tells what is known of a claimed request.
type claimState string

const (
	// claimOpen is a request that may be dispatched at any moment or was.
	claimOpen claimState = "open"
	// claimAnswered is a request that ran and was answered.
	claimAnswered claimState = "answered"
	// claimRefused is a request that may have run, without an answer.
	claimRefused claimState = "refused"
	// claimNotRun is a request that was never dispatched and never will be. Its
	// row stays, so that a delayed copy of the claim's write cannot land.
	claimNotRun claimState = "not_run"
)

// claimRow is the value of a claim row.
type claimRow struct {
	WriteID     string     `json:"write_id"`
	Claim       string     `json:"claim"` // identifies the attempt that made the claim
	State       claimState `json:"state"`
	Epoch       uint64     `json:"epoch"`
	Fingerprint string     `json:"fingerprint"`
	RequestID   string     `json:"request_id"`
	Runner      string     `json:"runner,omitempty"`
	Answer      []byte     `json:"answer,omitempty"`
	// Object names an answer that is too large for the row.
	Object string `json:"object,omitempty"`
	// Unavailable marks an answer that could not be kept.
	Unavailable bool             `json:"unavailable,omitempty"`
	Digest      string           `json:"digest,omitempty"` // sha-256 of the answer
	Refusal     *structs.Refusal `json:"refusal,omitempty"`
}

func claimKey(shard structs.ShardID, key string) string {
	return fmt.Sprintf("claim/%s/%s", shard, key)
}

func answerObject(shard structs.ShardID, claim string) string {
	return fmt.Sprintf("answer/%s/%s", shard, claim)
}

func decodeClaim(row platform.Row) (claimRow, error) {
	var c claimRow
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, fmt.Errorf("claim row %q: %w", row.Key, err)
	}
	return c, nil
}

func fingerprintText(req structs.Request) string {
	sum := fingerprint(req)
	return hex.EncodeToString(sum[:])
}
