// Package lifecycle runs the work items of the shards that this instance owns.
// It places, starts, monitors, evicts and cancels them, records their results,
// and accounts for the capacity of the workers.
//
// One core per shard holds all state of the shard. A core performs no I/O: its
// steps queue calls. The core's driver runs these calls on other goroutines and
// passes their results back to the core as further steps. A test can therefore
// drop, delay and reorder every call.
package lifecycle
