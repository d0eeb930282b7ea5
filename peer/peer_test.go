package peer

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"

	"bergamotstile/httpserver"
	"bergamotstile/structs"
)

// echoService answers Forward and Heartbeat with what it received. Relay fails.
type echoService struct{ Service }

func (echoService) Forward(_ context.Context, r *ForwardRequest) (*ForwardResponse, error) {
	return &ForwardResponse{Answer: &structs.Answer{RequestID: r.Request.ID, Body: r.Request.Body}}, nil
}

func (echoService) Relay(_ context.Context, _ *RelayRequest) (*RelayResponse, error) {
	return nil, errors.New("table closed")
}

// Guards against a codec or server that mixes up or truncates messages.
func TestForwardCarriesWholeRequest(t *testing.T) {
	server, err := httpserver.Start("127.0.0.1:0", NewHandler(echoService{}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := NewClient()
	defer client.Close()
	body := make([]byte, 1<<20)
	body[len(body)-1] = 7
	res, err := client.Forward(t.Context(), server.Address(), &ForwardRequest{Request: structs.Request{ID: "r1", Body: body}})
	if err != nil {
		t.Fatal(err)
	}
	if res.Answer.RequestID != "r1" || len(res.Answer.Body) != len(body) || res.Answer.Body[len(body)-1] != 7 {
		t.Fatalf("answer has ID %q and %d bytes", res.Answer.RequestID, len(res.Answer.Body))
	}
}

// Guards against reporting a call as unsent although the peer received it: the caller
// would then receive the outcome not_run for work that ran.
func TestCallErrorsSeparateUnsentFromUnknown(t *testing.T) {
	server, err := httpserver.Start("127.0.0.1:0", NewHandler(echoService{}))
	if err != nil {
		t.Fatal(err)
	}
	client := NewClient()
	defer client.Close()
	_, err = client.Relay(t.Context(), server.Address(), &RelayRequest{})
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("failed call: got %v, want ErrOutcomeUnknown", err)
	}
	address := server.Address()
	server.Close()
	client.Close()
	_, err = client.Relay(t.Context(), address, &RelayRequest{})
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("closed server: got %v, want ErrUnreachable", err)
	}
}

// Guards against compressing every response, which takes most of the time of a small
// call, and against sending large configurations uncompressed.
func TestOnlyLargeAnswersAreCompressed(t *testing.T) {
	server, err := httpserver.Start("127.0.0.1:0", NewHandler(echoService{}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for size, want := range map[int]string{100: "", 1 << 16: "gzip"} {
		body, err := newCodec().Marshal(&ForwardRequest{Request: structs.Request{ID: "r1", Body: make([]byte, size)}})
		if err != nil {
			t.Fatal(err)
		}
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address()+PathPrefix+"Forward", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/cbor")
		req.Header.Set("Accept-Encoding", "gzip")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if got := res.Header.Get("Content-Encoding"); res.StatusCode != http.StatusOK || got != want {
			t.Errorf("body of %d bytes: status %d, encoding %q, want %q", size, res.StatusCode, got, want)
		}
	}
}
