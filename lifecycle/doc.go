// Package lifecycle runs the work items of the shards that this instance owns.
// It places, starts, monitors, evicts and cancels them, records their results,
// and accounts for the capacity of the workers.
//
// One core per shard holds all state of the shard. A core performs no I/O. All
// changes of its state are made by steps: functions that the core's driver
// executes one after the other on one goroutine. A step queues calls for the
// I/O that it needs. The driver runs these calls on other goroutines and passes
// each result back to the core as a further step. A test can therefore drop,
// delay and reorder every call.
package lifecycle
