package workerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotstile/procstat"
	"bergamotstile/structs"
)

// BenchmarkHeartbeatHTTP measures one heartbeat over loopback, to a server that sends a
// prepared response. The processor time that it reports includes that server.
func BenchmarkHeartbeatHTTP(b *testing.B) {
	for _, tasks := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			response := encodedHeartbeatResponse(tasks)
			listener := &procstat.CountingListener{}
			var err error
			if listener.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				b.Fatal(err)
			}
			server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(
				func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(response) })}}
			server.Start()
			defer server.Close()
			client := NewHTTPClient()
			defer client.Close()
			req := HeartbeatRequest{Shard: structs.ShardID{Domain: "ogbomoso"}, Epoch: 12, LeaseMS: 20000}
			start := procstat.CPUTime()
			for b.Loop() {
				resp, err := client.Heartbeat(context.Background(), listener.Addr().String(), req)
				if err != nil || len(resp.Running) != tasks {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(listener.Bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

func encodedHeartbeatResponse(tasks int) []byte {
	size := structs.Resources{CPUMilli: 2000, MemoryMB: 8000}
	resp := HeartbeatResponse{BootID: "1b4e28ba-2fa1-11d2-883f-0016d3cca427", UptimeMS: 86_400_000,
		Capacity: structs.Resources{CPUMilli: 64000, MemoryMB: 250000, Accelerators: 2}, UsageAgeMS: 900}
	for i := range tasks {
		attempt := structs.NewAttemptID(structs.NewWorkID("team", strings.Repeat("k", i)), 1)
		resp.Running = append(resp.Running, RunningAttempt{Attempt: attempt, Size: size, Used: size, Throttle: 1})
	}
	data, _ := json.Marshal(resp)
	return data
}
