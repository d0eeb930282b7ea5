// Package examples holds the declarations of the current deployments.
package examples

import _ "embed"

// Society is the declaration of the Ogbomoso Lacecraft Dies Co-operative
// Society.
//
//go:embed society.json
var Society []byte
