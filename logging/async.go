package logging

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"bergamotstile/ring"
)

// maxQueuedLines is the maximum number of lines that wait to be written while
// the reader of the log is slow.
const maxQueuedLines = 4096

// maxLinesPerWrite is the maximum number of queued lines that are joined to the
// first one and written with the same call.
const maxLinesPerWrite = 32

// AsyncWriter queues lines and writes them to another writer in a goroutine of
// its own. It drops and counts lines that arrive while the queue is full, so
// that a process never waits for the reader of its logs.
type AsyncWriter struct {
	lines   *ring.Queue[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that writes to out, and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: ring.New[[]byte](maxQueuedLines), out: out}
	go w.writeQueued()
	return w
}

// Write implements io.Writer. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.Offer(slices.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// writeQueued writes the queued lines. It joins lines that are in the queue at
// the same time, so that they need only one system call.
func (w *AsyncWriter) writeQueued() {
	for line := range w.lines.C() {
		for _, queued := range w.lines.Drain(maxLinesPerWrite) {
			line = append(line, queued...)
		}
		_, _ = w.out.Write(line)
	}
}

// NewStructured returns a logger that writes lines to out without blocking. Each
// line is one JSON object. It also returns the writer of the logger, which counts
// the dropped lines.
func NewStructured(out io.Writer, level logrus.Level) (*logrus.Logger, *AsyncWriter) {
	w := NewAsyncWriter(out)
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return log, w
}
