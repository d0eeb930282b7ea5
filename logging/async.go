package logging

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"bergamotstile/ring"
)

// asyncLines is the number of lines that may wait for a slow reader.
const asyncLines = 4096

// joinedLines is the most lines that are written with one call.
const joinedLines = 32

// AsyncWriter passes lines to a writer in a goroutine of its own. Lines that
// find the ring full are dropped and counted: a process never waits for whoever
// reads its logs.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

// NewAsyncWriter starts a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: ring.New[[]byte](asyncLines), out: out}
	go w.serve()
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

// serve joins lines that wait, so that many cost one system call.
func (w *AsyncWriter) serve() {
	for line := range w.lines.C() {
		for _, more := range w.lines.Drain(joinedLines) {
			line = append(line, more...)
		}
		_, _ = w.out.Write(line)
	}
}

// NewStructured returns a logger that writes one JSON object a line to out,
// without blocking.
func NewStructured(out io.Writer, level logrus.Level) (*logrus.Logger, *AsyncWriter) {
	w := NewAsyncWriter(out)
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return log, w
}
