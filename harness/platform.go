package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bergamotstile/standin"
	"bergamotstile/structs"
)

// Platform is the stand-in of the platform, which runs as a separate process.
type Platform struct {
	*Process
	address string
}

// platformStartTimeout is the time within which the platform must answer after its
// start.
const platformStartTimeout = 30 * time.Second

func startPlatform(dir, address string, seed uint64) (*Platform, error) {
	process, err := Start(dir, "platform", "standin", "platform", "--listen", address, "--seed", fmt.Sprint(seed))
	if err != nil {
		return nil, err
	}
	platform := &Platform{Process: process, address: address}
	err = waitFor(platformStartTimeout, "the platform answers", func() bool {
		var stats standin.PlatformStats
		return getJSON("http://"+address+"/stats", &stats) == nil
	})
	return platform, err
}

// Stats returns the platform's counts of commits, reads, rows and objects. The counts
// are zero if the platform does not answer.
func (p *Platform) Stats() standin.PlatformStats {
	var stats standin.PlatformStats
	_ = getJSON("http://"+p.address+"/stats", &stats)
	return stats
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(f standin.PlatformFaults) error {
	return p.post("/faults", f)
}

// SetMember adds or replaces a member of the membership list.
func (p *Platform) SetMember(m structs.Member) error {
	return p.post("/members", standin.MembersRequest{Set: []structs.Member{m}})
}

func (p *Platform) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	code, _, err := send(context.Background(), http.MethodPost, "http://"+p.address+path, nil, data)
	if err == nil && code/100 != 2 {
		err = fmt.Errorf("platform %s: status %d", path, code)
	}
	return err
}
