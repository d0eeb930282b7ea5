package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

const minimalPrefix = `{"name":"e1","domain":"d","caller_address":"127.0.0.1:7000","peer_address":"127.0.0.1:7001","platform_address":"127.0.0.1:7100"`

// Guards against an example file that does not load, and against defaults that
// Check refuses.
func TestExampleHasTheDefaults(t *testing.T) {
	s, err := Load("../examples/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Name, want.Domain = s.Name, s.Domain
	want.CallerAddress, want.PeerAddress, want.PlatformAddress = s.CallerAddress, s.PeerAddress, s.PlatformAddress
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v", s)
	}
	if s.Limits().RequestTimeoutMaxMS != 1500 || s.LeaseMS.Duration().Seconds() != 3 {
		t.Errorf("got %+v", s)
	}
	if _, err := Load("missing.json"); err == nil {
		t.Error("a missing file was loaded")
	}
}

// Guards against accepting settings that break an invariant, such as a request
// timeout so long that a request may outlast the lease of its owner, and against
// problem reports without the name of the setting.
func TestCheckNamesInvalidSetting(t *testing.T) {
	cases := map[string]string{
		`"colour":1`:                    "colour: unknown field",
		`"lease_ms":"3s"`:               "lease_ms: must be a number, not a string",
		`"lease_ms":0`:                  "lease_ms: must be between 1 and 3600000 ms, not 0",
		`"drain_max_ms":-1`:             "drain_max_ms: must be between",
		`"suspect_ms":3600001`:          "suspect_ms: must be between",
		`"commit_max":0`:                "commit_max: must be between 1 and 4096",
		`"lease_margin_ms":501`:         "request_timeout_max_ms: must be at most lease_ms - lease_margin_ms - lease_ms/3 (1499), not 1500",
		`"lease_ms":2998`:               "request_timeout_max_ms: must be at most",
		`"request_timeout_max_ms":1501`: "request_timeout_max_ms: must be at most",
		`"drain_max_ms":1499`:           "drain_max_ms: must be at least request_timeout_max_ms (1500)",
		`"answer_retention_ms":1499`:    "answer_retention_ms: must be at least request_timeout_max_ms (1500)",
		`"task_lease_ms":7999`:          "task_lease_ms: must be at least 2*lease_ms + 2*worker_heartbeat_ms (8000)",
		`"start_window_ms":20000`:       "start_window_ms: must be below task_lease_ms (20000)",
		`"commit_wait_ms":1001`:         "commit_wait_ms: must be at most start_window_ms (1000)",
		`"suspect_ms":999`:              "suspect_ms: must be at least 2*heartbeat_ms (1000)",
		`"leaving_bound_ms":1999`:       "leaving_bound_ms: must be between 2*probe_ms (2000) and 10000",
		`"leaving_bound_ms":10001`:      "leaving_bound_ms: must be between",
		`"config_poll_ms":2501`:         "config_poll_ms: must be at most 2500",
	}
	for field, want := range cases {
		expectRefused(t, minimalPrefix+","+field+"}", want)
	}
}

// Guards against accepting addresses that cannot be listened on or connected to,
// host names that need a resolver, and invalid names of instances and domains.
func TestCheckRefusesInvalidAddressesAndNames(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"127.0.0.1:7000", "localhost:7000"}: "caller_address: must be an IP number and a port",
		{"127.0.0.1:7001", "127.0.0.1"}:      "peer_address: must be an IP number and a port",
		{"127.0.0.1:7001", "0.0.0.0:7001"}:   "peer_address: must be an address that other instances can reach",
		{"127.0.0.1:7001", "127.0.0.1:7000"}: "peer_address: must differ from caller_address",
		{"127.0.0.1:7100", "127.0.0.1:0"}:    "platform_address: must name an address and a port",
		{`"name":"e1"`, `"name":""`}:         "name: must be",
		{`"domain":"d"`, `"domain":"a/b"`}:   "domain: must be",
		{`"domain":"d",`, ``}:                "domain: is required",
	} {
		expectRefused(t, strings.Replace(minimalPrefix, change[0], change[1], 1)+"}", want)
	}
}

func expectRefused(t *testing.T, text, want string) {
	t.Helper()
	s, err := Decode([]byte(text))
	if err == nil {
		err = s.Check()
	}
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%s: got %v, want %q", text, err, want)
	}
}

// Guards against settings that the operators' documentation does not list with
// their defaults.
func TestEverySettingIsDocumented(t *testing.T) {
	docs, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	v := reflect.ValueOf(*Default())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		row := "\n| `" + name + "` | "
		if !v.Field(i).IsZero() {
			row += fmt.Sprint(v.Field(i).Interface(), " | ")
		}
		if !strings.Contains(string(docs), row) {
			t.Errorf("docs/OPERATIONS.md has no row %q", row)
		}
	}
}

// FuzzDecode guards against panics, against accepting settings that break the
// relation on which exclusive dispatch depends, and against accepted settings
// that change when they are encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimalPrefix + "}"))
	f.Add([]byte(minimalPrefix + `,"lease_ms":6000,"task_lease_ms":30000}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil || s.Check() != nil {
			return
		}
		if s.RequestTimeoutMaxMS > s.LeaseMS-s.LeaseMarginMS-s.LeaseMS/3 || s.DrainMaxMS < s.RequestTimeoutMaxMS {
			t.Fatalf("accepted %+v", s)
		}
		body, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(body)
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("accepted settings differ after encoding and decoding: %+v, %v", again, err)
		}
	})
}
