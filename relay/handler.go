package relay

import (
	"context"
	"errors"

	"bergamotstile/peer"
	"bergamotstile/platform"
)

// Handler executes table calls on behalf of peers that cannot reach the table.
type Handler struct {
	direct platform.Table
}

// NewHandler returns a handler that executes calls on direct. direct must be the
// platform's table itself: if handlers relayed calls in turn, a call could pass between
// instances in a loop.
func NewHandler(direct platform.Table) *Handler {
	return &Handler{direct: direct}
}

// Relay executes one table call for a peer. If the call fails, the response says how; Relay
// itself always returns a nil error.
func (h *Handler) Relay(ctx context.Context, req *peer.RelayRequest) (*peer.RelayResponse, error) {
	response := &peer.RelayResponse{}
	var err error
	switch {
	case req.Commit != nil:
		var result platform.CommitResult
		if result, err = h.direct.Commit(ctx, *req.Commit); err == nil {
			response.Commit = &result
		}
	case req.Scan != nil:
		response.Rows, err = h.direct.Scan(ctx, req.Scan.Prefix, req.Scan.After, req.Scan.Limit)
	default:
		response.Rows, err = h.direct.Read(ctx, req.Read...)
	}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		response.Failure, response.Conflict = peer.RelayConflict, conflict
	case errors.Is(err, platform.ErrUnavailable):
		response.Failure = peer.RelayUnavailable
	default:
		response.Failure = peer.RelayOutcomeUnknown
	}
	return response, nil
}
