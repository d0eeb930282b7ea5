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

// registrationTTL is how long a member stays on the platform's list after its
// last registration, even if its process has ended. The process registers again
// after each third of this time.
const registrationTTL = 3 * time.Second

// serveRegistered serves a handler until ctx ends. It keeps the member on the
// platform's list while it serves, and returns after the attempt to remove the
// member from the list.
func serveRegistered(ctx context.Context, address string, handler http.Handler, platformAddress string, member func() structs.Member) error {
	registrationCtx, stopRegistration := context.WithCancel(ctx)
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		keepRegistered(registrationCtx, platformAddress, member)
	}()
	err := serve(ctx, address, handler)
	stopRegistration()
	<-deregistered
	return err
}

// registrationPlatform returns the address of the platform with which a stand-in
// registers, or "" if the stand-in does not register itself.
func registrationPlatform(platformAddress string, unlisted bool) string {
	if unlisted {
		return ""
	}
	return platformAddress
}

// keepRegistered keeps a member on the platform's list until ctx ends, and then
// removes it. It does nothing if platformAddress is empty. Failed calls are
// ignored: the next registration repeats them, and a member that could not be
// removed expires after its TTL.
func keepRegistered(ctx context.Context, platformAddress string, member func() structs.Member) {
	if platformAddress == "" {
		return
	}
	client := httpclient.New(httpclient.Options{MaxConnsPerHost: 1})
	defer client.Close()
	for sleepErr := error(nil); sleepErr == nil; sleepErr = sleep(ctx, registrationTTL/3) {
		req := MembersRequest{Set: []structs.Member{member()}, TTLMS: registrationTTL.Milliseconds()}
		_ = postMembers(ctx, client, platformAddress, req)
	}
	removeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registrationTTL/3)
	defer cancel()
	_ = postMembers(removeCtx, client, platformAddress, MembersRequest{Remove: []string{member().Name}})
}

func postMembers(ctx context.Context, client *httpclient.Client, platformAddress string, body MembersRequest) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req := httpclient.Request{Method: http.MethodPost, URL: "http://" + platformAddress + "/members", Body: data}
	return client.Do(ctx, req, func(res httpclient.Response) error {
		if res.Status != http.StatusOK {
			return fmt.Errorf("register on the platform: status %d", res.Status)
		}
		return nil
	})
}
