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

// Platform is the stand-in of the platform, a process of its own.
type Platform struct {
	*Process
	address string
}

// platformStart ends a start of the platform that does not come to answer.
const platformStart = 30 * time.Second

func startPlatform(dir, address string, seed uint64) (*Platform, error) {
	p, err := Start(dir, "platform", "standin", "platform", "--listen", address, "--seed", fmt.Sprint(seed))
	if err != nil {
		return nil, err
	}
	platform := &Platform{Process: p, address: address}
	err = waitFor(platformStart, "the platform answers", func() bool {
		var stats standin.PlatformStats
		return getJSON("http://"+address+"/stats", &stats) == nil
	})
	return platform, err
}

// Stats returns the counts of calls that took effect; zero if the platform
// does not answer.
func (p *Platform) Stats() standin.PlatformStats {
	var stats standin.PlatformStats
	_ = getJSON("http://"+p.address+"/stats", &stats)
	return stats
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(f standin.PlatformFaults) error {
	return p.post("/faults", f)
}

// SetMember adds or replaces a line of the membership list.
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
