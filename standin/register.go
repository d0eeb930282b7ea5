package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bergamotstile/httpclient"
	"bergamotstile/structs"
)

// registrationTTL is how long a stand-in process stays on the platform's list
// after it died. It registers again each third of that time.
const registrationTTL = 3 * time.Second

// serveRegistered serves a handler until ctx ends, keeps the member on the
// platform's list meanwhile and waits until it is off the list again.
func serveRegistered(ctx context.Context, address string, handler http.Handler, platform string, member func() structs.Member) error {
	serving, stop := context.WithCancel(ctx)
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		keepRegistered(serving, platform, member)
	}()
	err := serve(ctx, address, handler)
	stop()
	<-registered
	return err
}

// listedOn returns the platform on whose list a stand-in registers, if any.
func listedOn(platform string, unlisted bool) string {
	if unlisted {
		return ""
	}
	return platform
}

// keepRegistered keeps a member on the platform's list until ctx ends, and
// then takes it off. It does nothing without a platform.
func keepRegistered(ctx context.Context, platform string, member func() structs.Member) {
	if platform == "" {
		return
	}
	client := httpclient.New(httpclient.Options{MaxConnsPerHost: 1})
	defer client.Close()
	for sleepErr := error(nil); sleepErr == nil; sleepErr = sleep(ctx, registrationTTL/3) {
		req := MembersRequest{Set: []structs.Member{member()}, TTLMS: registrationTTL.Milliseconds()}
		_ = postMembers(ctx, client, platform, req)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), registrationTTL/3)
	defer cancel()
	_ = postMembers(last, client, platform, MembersRequest{Remove: []string{member().Name}})
}

func postMembers(ctx context.Context, client *httpclient.Client, platform string, body MembersRequest) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req := httpclient.Request{Method: http.MethodPost, URL: "http://" + platform + "/members", Body: data}
	return client.Do(ctx, req, func(res httpclient.Response) error {
		if res.Status != http.StatusOK {
			return fmt.Errorf("register on the platform: status %d", res.Status)
		}
		return nil
	})
}
