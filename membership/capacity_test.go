package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/platform/httpapi"
	"bergamotstile/procstat"
	"bergamotstile/structs"
)

// designSizeList returns a list of workers and runners in about the proportions of the
// design size, which has 5,300 workers, 19,000 runners and a few entry instances. It
// leaves the entry instances out.
func designSizeList(members int) platform.Membership {
	list := platform.Membership{Version: 1}
	for i := range members {
		m := structs.Member{Name: fmt.Sprintf("runner-ogbomoso-%05d", i), Role: structs.RoleRunner, Domain: fmt.Sprintf("domain-%02d", i%12),
			Address: fmt.Sprintf("10.11.%d.%d:8080", i>>8, i&0xff), State: structs.MemberLive, Service: "pathworks",
			Worker: fmt.Sprintf("worker-ogbomoso-%05d", i/4), Slots: 8, Connections: 64}
		if i%100 < 21 {
			m.Name, m.Role, m.Service, m.Worker, m.Slots, m.Connections = fmt.Sprintf("worker-ogbomoso-%05d", i), structs.RoleWorker, "", "", 0, 0
			m.Capacity = structs.Resources{CPUMilli: 64000, MemoryMB: 250000, Accelerators: 2}
		}
		list.Members = append(list.Members, m)
	}
	return list
}

// listDecoder decodes an encoded list at each reading, as the platform's adapter does.
// Each reading has a new version, since the view does not merge a reading whose version
// is the last one.
type listDecoder struct {
	data    []byte
	version uint64
}

func (r *listDecoder) List(context.Context) (platform.Membership, error) {
	var list platform.Membership
	err := json.Unmarshal(r.data, &list)
	r.version++
	list.Version = r.version
	return list, err
}

// BenchmarkList measures one reading of the membership list.
func BenchmarkList(b *testing.B) {
	for _, members := range []int{100, 1000, 5000, 25000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			data, _ := json.Marshal(designSizeList(members))
			before := procstat.LiveHeapBytes()
			v := New(Config{Self: entryMember("a"), List: &listDecoder{data: data}, Clock: clockwork.NewFakeClock()})
			start := procstat.CPUTime()
			for b.Loop() {
				if err := v.Refresh(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			memberCount := float64(members)
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N)/memberCount, "cpu-us/member")
			b.ReportMetric(float64(len(data))/memberCount, "wire-B/member")
			b.ReportMetric((float64(procstat.LiveHeapBytes())-float64(before))/memberCount, "live-B/member")
			if _, ok := v.Worker("none"); ok {
				b.Fatal("unknown worker found")
			}
		})
	}
}

// newListServer returns a server of an encoded list. If changes is true, each reading has
// a new entity tag, its number, so that the list counts as changed each time.
func newListServer(b *testing.B, data []byte, changes bool) (*procstat.CountingListener, *httptest.Server) {
	readings := 0
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if changes {
			readings++
		}
		etag := fmt.Sprintf("\"%d\"", readings)
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(data)
	}))
	l := &procstat.CountingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	b.Cleanup(server.Close)
	return l, server
}

// BenchmarkListHTTP measures one reading of the list through the platform's adapter,
// including the transport at both ends, for an unchanged and for a changed list.
func BenchmarkListHTTP(b *testing.B) {
	for _, changes := range []bool{false, true} {
		for _, members := range []int{100, 1000, 5000, 25000} {
			b.Run(fmt.Sprintf("changed=%t/members=%d", changes, members), func(b *testing.B) {
				data, _ := json.Marshal(designSizeList(members))
				l, server := newListServer(b, data, changes)
				before := procstat.LiveHeapBytes()
				v := New(Config{Self: entryMember("a"), List: httpapi.New(httpapi.Options{Address: l.Addr().String()}), Clock: clockwork.NewFakeClock()})
				if err := v.Refresh(b.Context()); err != nil {
					b.Fatal(err)
				}
				l.Bytes.Store(0)
				start := procstat.CPUTime()
				for b.Loop() {
					if err := v.Refresh(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(l.Bytes.Load())/float64(b.N), "wire-B/op")
				server.CloseClientConnections()
				b.ReportMetric((float64(procstat.LiveHeapBytes())-float64(before))/float64(members), "live-B/member")
				if _, ok := v.Worker("none"); ok {
					b.Fatal("unknown worker found")
				}
			})
		}
	}
}

// answeringPeers answers each heartbeat at once with a copy of it under the peer's name.
type answeringPeers struct{}

func (answeringPeers) Heartbeat(_ context.Context, address string, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	answer := *m
	answer.Name = address
	return &answer, nil
}

// BenchmarkPeerRound measures one round of heartbeats with all peers without the
// transport, which package peer measures.
func BenchmarkPeerRound(b *testing.B) {
	for _, instances := range []int{10, 30, 100} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			list := designSizeList(25000)
			for i := range instances {
				list.Members = append(list.Members, entryMember(fmt.Sprintf("entry-%03d", i)))
			}
			self := entryMember("entry-000")
			self.Domain = "domain-03"
			v := New(Config{Self: self, Peers: answeringPeers{}, Clock: clockwork.NewFakeClock(),
				Shards: func() []peer.OwnedShard { return []peer.OwnedShard{{Shard: structs.ShardID{Domain: "d"}, Epoch: 3}} }})
			now := time.Now()
			if err := v.applyReading(list, now, now); err != nil {
				b.Fatal(err)
			}
			start := procstat.CPUTime()
			for b.Loop() {
				for _, m := range v.takeDuePeers() {
					_ = v.exchangeHeartbeats(b.Context(), m)
				}
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N*(instances-1)), "cpu-us/peer")
		})
	}
}

// BenchmarkRunners measures the selection of a service's runners, which is done for each
// request.
func BenchmarkRunners(b *testing.B) {
	for _, members := range []int{100, 1000, 5000, 25000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			v := New(Config{Self: entryMember("a"), Clock: clockwork.NewFakeClock()})
			now := time.Now()
			if err := v.applyReading(designSizeList(members), now, now); err != nil {
				b.Fatal(err)
			}
			start := procstat.CPUTime()
			for b.Loop() {
				v.Runners("domain-03", "pathworks")
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
		})
	}
}
