package routing

import (
	"fmt"
	"testing"

	"bergamotstile/structs"
)

// BenchmarkHandleUnkeyed measures the router's own work on a request that the
// owner dispatches at once, with as many runners as the deployments have.
func BenchmarkHandleUnkeyed(b *testing.B) {
	c := newCluster(b, Settings{}, "a", "b")
	var members []structs.Member
	for i := range 50 {
		name := fmt.Sprint("runner-", i)
		members = append(members, structs.Member{Name: name, Address: name, Domain: testDomain, Service: testService})
	}
	c.setMembers(members)
	c.runners.setRespond(alwaysRespond(0, nil))
	b.ReportAllocs()
	for b.Loop() {
		if body, reason, _ := handle(c.instances["a"], request("r", "", "x")); body == "" {
			b.Fatal(reason)
		}
	}
}
