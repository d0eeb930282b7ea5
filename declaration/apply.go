package declaration

import "bergamotstile/strictjson"

// ApplyRequest is the body of POST /v1/declarations.
type ApplyRequest struct {
	Operator string `json:"operator"`
	// Base is the version that the operator started from. Zero stands for the
	// version in force when the request arrives.
	Base        uint64     `json:"base,omitempty"`
	Declaration Deployment `json:"declaration"`
}

// ApplyResponse answers an accepted apply.
type ApplyResponse struct {
	Version uint64 `json:"version"`
}

// DecodeApply reads the body of POST /v1/declarations.
func DecodeApply(data []byte) (*ApplyRequest, error) {
	r := &ApplyRequest{Declaration: Deployment{ShardsPerDomain: 1}}
	if err := strictjson.Decode(data, r); err != nil {
		return nil, err
	}
	return r, nil
}
