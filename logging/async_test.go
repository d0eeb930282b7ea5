package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockedWriter) lines() [][]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Split(bytes.TrimSpace(w.written.Bytes()), []byte("\n"))
}

// Guards against a process that blocks because the reader of its logs has
// stopped, against lines that are dropped without being counted, and against
// damaged lines.
func TestAsyncWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, writer := NewStructured(out, logrus.InfoLevel)
	const excess = 1000
	for i := range maxQueuedLines + excess {
		log.WithField("n", i).Info("line")
	}
	dropped := writer.Dropped()
	if dropped < excess-maxLinesPerWrite-1 || dropped > excess {
		t.Errorf("%d lines dropped, want about %d", dropped, excess)
	}
	close(out.release)
	deadline := time.Now().Add(10 * time.Second)
	for len(out.lines()) < maxQueuedLines && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	for _, line := range out.lines() {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil || fields["msg"] != "line" {
			t.Fatalf("line %q: %v", line, err)
		}
	}
}

// Guards against queueing lines below the level of the logger.
func TestStructuredLoggerSkipsLinesBelowLevel(t *testing.T) {
	log, writer := NewStructured(io.Discard, logrus.WarnLevel)
	log.Info("not written")
	if writer.Dropped() != 0 || writer.lines.Len() != 0 {
		t.Error("a line below the level was queued")
	}
}
