package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/httpserver"
	"bergamotstile/procstat"
	"bergamotstile/structs"
)

// Heartbeat returns the heartbeat that it receives.
func (echoService) Heartbeat(_ context.Context, m *Heartbeat) (*Heartbeat, error) { return m, nil }

func sampleHeartbeat() *Heartbeat {
	return &Heartbeat{Name: "entry-ogbomoso-07", Domain: "ogbomoso", Address: "10.11.12.13:7301", TableUp: true, ConfigVersion: 8_395_000,
		Incarnation: "1b4e28ba-2fa1-11d2-883f-0016d3cca427",
		Shards:      []OwnedShard{{Shard: structs.ShardID{Domain: "ogbomoso", Index: 7}, Epoch: 12}}}
}

// BenchmarkWireBytes reports the encoded size of the messages and the processor time of
// encoding them.
func BenchmarkWireBytes(b *testing.B) {
	request := structs.Request{ID: "1b4e28ba-2fa1-11d2-883f-0016d3cca427", Service: "pathworks", Kind: "proof", Key: "order-12345678",
		Caller: "bench-17", Domain: "ogbomoso", Idempotent: true, Timeout: time.Second, Body: make([]byte, 1024)}
	messages := map[string]any{
		"heartbeat":    sampleHeartbeat(),
		"forward-1KB":  &ForwardRequest{Request: request, From: "entry-ogbomoso-07", Hops: 1},
		"hint":         &HintRequest{Shard: structs.ShardID{Domain: "ogbomoso", Index: 7}, ID: structs.NewWorkID("t", "k")},
		"push-1KB":     &PushRequest{Changes: []ConfigChange{{Version: 8_395_000, Value: make([]byte, 1024)}}},
		"push-relay99": &PushRequest{Changes: []ConfigChange{{Version: 8_395_000, Value: make([]byte, 1024)}}, RelayTo: strings.Split(strings.Repeat("entry-ogbomoso-07 ", 99), " ")[:99]},
		"promise":      &PromiseRequest{Shard: structs.ShardID{Domain: "ogbomoso", Index: 7}, Epoch: 12, LeaseMS: 3000},
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			size := 0
			start := procstat.CPUTime()
			for b.Loop() {
				data, err := newCodec().Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

// BenchmarkCall measures one call over loopback. Its figures include client and server.
func BenchmarkCall(b *testing.B) {
	server, err := httpserver.Start("127.0.0.1:0", NewHandler(echoService{}))
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client := NewClient()
	defer client.Close()
	var wireBytes atomic.Int64
	client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return procstat.CountingConn{Conn: conn, Bytes: &wireBytes}, err
	}
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("forward-%d", size), func(b *testing.B) {
			m := &ForwardRequest{Request: structs.Request{ID: "r1", Body: make([]byte, size)}}
			benchmarkCall(b, &wireBytes, func() error { _, err := client.Forward(b.Context(), server.Address(), m); return err })
		})
	}
	b.Run("heartbeat", func(b *testing.B) {
		benchmarkCall(b, &wireBytes, func() error {
			_, err := client.Heartbeat(b.Context(), server.Address(), sampleHeartbeat())
			return err
		})
	})
}

func benchmarkCall(b *testing.B, wireBytes *atomic.Int64, call func() error) {
	b.ReportAllocs()
	wireBytes.Store(0)
	start := procstat.CPUTime()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(wireBytes.Load())/float64(b.N), "wire-B/op")
}
