package peer

import (
	"testing"
)

// Guards against a message from a peer that makes the decoder panic, and against one
// that is decoded but can't be encoded again or decoded from that encoding.
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
			encoded, err := codec.Marshal(m)
			if err != nil {
				t.Fatalf("%T cannot be encoded again: %v", m, err)
			}
			if err := codec.Unmarshal(encoded, m); err != nil {
				t.Fatalf("%T cannot be decoded again: %v", m, err)
			}
		}
	})
}
