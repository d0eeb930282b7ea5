package peer

import (
	"testing"
)

// Guards against a message of a peer that panics the decoder, and against one
// that is read but cannot be passed on as it was understood.
func FuzzMessages(f *testing.F) {
	codec := newCodec()
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []any{
			&Heartbeat{}, &ForwardRequest{}, &ForwardResponse{}, &HintRequest{}, &WorkRequest{}, &WorkResponse{},
			&PushRequest{}, &FetchRequest{}, &FetchResponse{}, &PromiseRequest{}, &ProbeRequest{}, &ReleasedRequest{},
			&RelayRequest{}, &RelayResponse{},
		} {
			if codec.Unmarshal(data, m) != nil {
				continue
			}
			again, err := codec.Marshal(m)
			if err != nil {
				t.Fatalf("%T cannot be encoded again: %v", m, err)
			}
			if err := codec.Unmarshal(again, m); err != nil {
				t.Fatalf("%T cannot be decoded again: %v", m, err)
			}
		}
	})
}
