package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"bergamotstile/declaration"
	"bergamotstile/peer"
	"bergamotstile/procstat"
	"bergamotstile/structs"
)

// deploymentOfSize returns a deployment with about the given number of entries. The
// revision changes one of them.
func deploymentOfSize(entries, revision int) *declaration.Deployment {
	d := testDeployment(0)
	for i := range max(entries/6, 1) {
		d.Teams = append(d.Teams, declaration.Team{Name: fmt.Sprintf("team-%03d", i), Weight: 1,
			Quota: structs.Resources{CPUMilli: 1_000_000, MemoryMB: 4_000_000, Accelerators: 16}})
	}
	for i := range entries - entries/6 {
		d.BatchJobs = append(d.BatchJobs, declaration.BatchJob{Kind: fmt.Sprintf("die-render-%04d", i), Team: d.Teams[i%len(d.Teams)].Name,
			Size: structs.Resources{CPUMilli: 2000, MemoryMB: 8000}, ExpectedRunMS: 60_000, MaxRunMS: 600_000, Idempotent: true, Checkpoint: true})
	}
	d.BatchJobs[len(d.BatchJobs)-1].ExpectedRunMS += int64(revision)
	return d
}

// alternatingChanges returns two changes, of which the second undoes the first, and the
// state before them.
func alternatingChanges(b *testing.B, entries int) (configState, []peer.ConfigChange) {
	var st configState
	from := declaration.Entries{}
	var changes []peer.ConfigChange
	for version := uint64(1); version <= 3; version++ {
		to := deploymentOfSize(entries, int(version)%2).Entries()
		value := encode(changeRecord{Version: version, Operator: "operator@ogbomoso", Base: version - 1,
			WriteID: "6ba7b810-9dad-11d1-80b4-00c04fd430c8", Digest: to.Digest(), Delta: declaration.Diff(from, to)})
		changes = append(changes, peer.ConfigChange{Version: version, Value: value})
		from = to
	}
	st, err := configState{entries: declaration.Entries{}, decodedEntries: declaration.DecodedEntries{}}.withChange(changes[0])
	if err != nil {
		b.Fatal(err)
	}
	return st, changes[1:]
}

// BenchmarkInstall measures applying one change to a state, without logging. It also
// reports the sizes of the change and of a snapshot, and the memory used for each entry.
func BenchmarkInstall(b *testing.B) {
	for _, entries := range []int{10, 100, 300, 1000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			liveBytesBefore := procstat.LiveHeapBytes()
			st, changes := alternatingChanges(b, entries)
			liveBytes := float64(procstat.LiveHeapBytes()) - float64(liveBytesBefore)
			start := procstat.CPUTime()
			for b.Loop() {
				if _, err := st.withChange(changes[0]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(len(changes[0].Value)), "delta-B")
			b.ReportMetric(float64(len(st.encodeSnapshot())), "snapshot-B")
			b.ReportMetric(liveBytes/float64(entries), "live-B/entry")
		})
	}
}

// discardingPeers accepts pushes without passing them on.
type discardingPeers struct {
	Peers
	instances []structs.Member
}

func (c *discardingPeers) Entries(string) []structs.Member { return c.instances }
func (c *discardingPeers) Push(_ context.Context, _ string, m *peer.PushRequest) (*peer.PushResponse, error) {
	return &peer.PushResponse{}, nil
}

// BenchmarkRelay measures a push at the root of the relay tree and reports the depth of
// the tree.
func BenchmarkRelay(b *testing.B) {
	for _, instances := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			peers := &discardingPeers{}
			for i := range instances {
				peers.instances = append(peers.instances, structs.Member{Name: fmt.Sprintf("entry-%04d", i), Address: "10.11.12.13:7301"})
			}
			s := New(Options{Name: "entry-0000", Peers: peers, View: peers, Clock: clockwork.NewRealClock(), Log: silentLog()})
			req := peer.PushRequest{Changes: []peer.ConfigChange{{Version: 1, Value: make([]byte, 1024)}}, RelayTo: s.peerNames()}
			start := procstat.CPUTime()
			for b.Loop() {
				s.relayPush(b.Context(), req)
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(relayDepth(req.RelayTo)), "depth")
		})
	}
}

func relayDepth(names []string) int {
	depth := 0
	for _, branch := range splitBranches(names, fanOut) {
		depth = max(depth, 1+relayDepth(branch[1:]))
	}
	return depth
}

// BenchmarkDecodeFile measures what an apply costs the instance that receives it: the
// instance decodes the file, checks it and compares it with the configuration in force.
func BenchmarkDecodeFile(b *testing.B) {
	for _, entries := range []int{10, 100, 300, 1000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			file, err := json.Marshal(deploymentOfSize(entries, 0))
			if err != nil {
				b.Fatal(err)
			}
			current := deploymentOfSize(entries, 1).Entries()
			start := procstat.CPUTime()
			for b.Loop() {
				d, err := declaration.Decode(file)
				if err != nil {
					b.Fatal(err)
				}
				_ = d.Check(declaration.DefaultLimits())
				if declaration.Diff(current, d.Entries()).IsEmpty() {
					b.Fatal("no difference")
				}
			}
			b.ReportMetric(float64(procstat.CPUTime()-start)/1000/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(len(file)), "file-B")
		})
	}
}
