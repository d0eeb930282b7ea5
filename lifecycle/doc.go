// Package lifecycle runs the work items of the shards that this instance
// owns: it places, starts, watches, evicts, cancels and ends them, and it
// accounts for the capacity of their workers.
//
// One core per shard holds all state. A core does no I/O: each step returns
// calls, which its driver runs elsewhere and whose results come back as the
// next steps. So a test can drop, delay and reorder every call.
package lifecycle
