package routing

import (
	"context"

	"bergamotstile/structs"
)

func (r *Router) attemptClaimed(_ context.Context, _ call, _ structs.ShardID) result {
	return refused(structs.NotRun(structs.ReasonStoreUnavailable, "claims are not available yet"))
}
