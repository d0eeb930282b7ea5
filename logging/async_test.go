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

// stuckReader takes nothing until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuckReader) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuckReader) lines() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Split(bytes.TrimSpace(s.got.Bytes()), []byte("\n"))
}

// A reader of the logs that stops must not stop the process, and what did not
// fit must be counted.
func TestLogsNeverBlock(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	log, writer := NewStructured(reader, logrus.InfoLevel)
	const extra = 1000
	for i := range asyncLines + extra {
		log.WithField("n", i).Info("line")
	}
	dropped := writer.Dropped()
	if dropped < extra-joinedLines-1 || dropped > extra {
		t.Errorf("%d lines dropped, want about %d", dropped, extra)
	}
	close(reader.release)
	deadline := time.Now().Add(10 * time.Second)
	for len(reader.lines()) < asyncLines && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	for _, line := range reader.lines() {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil || fields["msg"] != "line" {
			t.Fatalf("line %q: %v", line, err)
		}
	}
}

// Lines below the level cost nothing.
func TestStructuredLevel(t *testing.T) {
	log, writer := NewStructured(io.Discard, logrus.WarnLevel)
	log.Info("not written")
	if writer.Dropped() != 0 || writer.lines.Len() != 0 {
		t.Error("a line below the level was queued")
	}
}
