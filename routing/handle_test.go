package routing

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
)

// Guards against a request that is answered only on the shard owner.
func TestHandleLocallyAndForwarded(t *testing.T) {
	c := newCluster(t, clockwork.NewRealClock(), "a", "b")
	for _, at := range []string{"a", "b"} {
		for _, key := range []string{"", "key-" + at} {
			answer, err := c.nodes[at].router.Handle(context.Background(), request("r", key, "x"+key))
			if err != nil || string(answer.Body) != "answer:x"+key || answer.RequestID != "r" {
				t.Errorf("at %s key %q: %+v %v", at, key, answer, err)
			}
		}
	}
}

// Guards against a keyed request that runs again while its answer is
// remembered.
func TestDuplicateGetsTheRememberedAnswer(t *testing.T) {
	c := newCluster(t, clockwork.NewRealClock(), "a", "b")
	for _, at := range []string{"a", "b", "a"} {
		if _, err := c.nodes[at].router.Handle(context.Background(), request("r"+at, "k", "x")); err != nil {
			t.Fatal(err)
		}
	}
	if runs := c.runners.record(); len(runs) != 1 {
		t.Errorf("ran %d times", len(runs))
	}
}
