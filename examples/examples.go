// Package examples holds example files: the declarations of the two current
// deployments, the settings of an entry instance and a membership list.
package examples

import _ "embed"

// Society is the declaration of the deployment of the Ogbomoso Lacecraft Dies
// Co-operative Society, encoded as JSON.
//
//go:embed society.json
var Society []byte
