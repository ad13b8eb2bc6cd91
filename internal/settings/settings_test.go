package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/event"
)

func sample(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("../../samples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestSamplesLoad(t *testing.T) {
	is := is.New(t)
	e, err := LoadEntry(sample(t, "entry.jsonc"))
	is.NoErr(err)
	is.Equal(e.Advertise, Addresses{HTTP: "127.0.0.1:7101", Link: "127.0.0.1:7102", Peer: "127.0.0.1:7103"})
	is.Equal(e.Callers[1].Team, "puthenveettil")
	is.True(e.Callers[0].Token.Matches("SAMPLE-rivage-token-0001"))
	is.True(!e.Callers[0].Token.Matches("SAMPLE-rivage-token-0002"))
	second, err := LoadEntry(sample(t, "entry2.jsonc"))
	is.NoErr(err)
	is.Equal(second.Limits, e.Limits) // the sample states the defaults
	a, err := LoadAgent(sample(t, "agent.jsonc"))
	is.NoErr(err)
	is.Equal(a.Slots, 8)
	is.Equal(a.Connections, 64)
	is.Equal(a.LogLevel, event.Info)
}

// faulty is an invalid settings file. The comments give the line numbers.
const faulty = `{ // 1
  "name": "two words", // 2
  "colour": "green", // 3
  "http_address": "localhost:7101", // 4
  "link_address": "0.0.0.0:7102", // 5
  "peer_address": 7103, // 6
  "table_address": "127.0.0.1:0", // 7
  "lease_ms": 10, // 8
  "limits": {"max_body_bytes": 1.5, "max_bodies": 2}, // 9
  "callers": [ // 10
    {"team": "rivage", "token": "too-short-secret"}, // 11
    {"team": "rivage", "token": "white space secret"}, // 12
    {"team": "rivage", "token": "too-short-secret"}, // 13
    {"team": "rivage", "token": "x", "token_file": "y"}, // 14
    {"team": "rivage", "token_file": "absent"}, // 15
    7, // 16
  ],
  "tls": {"cert_file": "cert.pem"}, // 18
  "pprof": "yes", // 19
  "log_level": "loud", // 20
  "log_level": "info", // 21
}`

func TestAllFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	absent := func(string) ([]byte, error) { return nil, os.ErrNotExist }
	_, err := loadEntry([]byte(faulty), absent)
	var faults Faults
	is.True(errors.As(err, &faults))
	var got []string
	for _, f := range faults {
		got = append(got, fmt.Sprint(f.Line, " ", f.Key))
		is.True(f.Allowed != "" && f.Found != "")
	}
	is.Equal(got, []string{
		"1 data_centre", "1 advertise.link_address", "2 name", "3 colour", "4 http_address", "6 peer_address",
		"7 table_address", "8 lease_ms", "9 limits.max_body_bytes", "9 limits.max_bodies", "12 callers[1].token",
		"13 callers[2].token", "14 callers[3].token", "15 callers[4].token_file", "16 callers[5]",
		"18 tls.key_file", "19 pprof", "21 log_level",
	})
	is.True(!strings.Contains(err.Error(), "secret")) // the message contains no token
	var one *Fault
	is.True(errors.As(err, &one))
}

func TestAgentFaults(t *testing.T) {
	is := is.New(t)
	_, err := LoadAgent([]byte(`{"slots": 8, "connections": 4, "capacity": {"cores": 0}, "entries": []}`))
	var faults Faults
	is.True(errors.As(err, &faults))
	text := err.Error()
	for _, key := range []string{"endpoint", "data_centre", "pool", "connections", "capacity.cores",
		"capacity.memory_mb", "endpoint_address", "entries", "http_address"} {
		is.True(strings.Contains(text, " "+key+":"))
	}
	is.Equal(len(faults), 9)
	_, err = LoadAgent([]byte("{\n\n\"slots\": }"))
	is.True(errors.As(err, &faults))
	is.Equal(faults[0].Line, 3)
}

func TestTokenIsReadFromFile(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(string(sample(t, "entry.jsonc")), `"token": "SAMPLE-rivage-token-0001"`, `"token_file": "a"`, 1)
	e, err := loadEntry([]byte(text), func(string) ([]byte, error) { return []byte("from-a-file-0123456789\n"), nil })
	is.NoErr(err)
	is.True(e.Callers[0].Token.Matches("from-a-file-0123456789"))
}

func TestCertificateIsCheckedBeforeListening(t *testing.T) {
	is := is.New(t)
	const setting = `"tls": {"cert_file": "cert.pem", "key_file": "key.pem"},`
	text := strings.Replace(string(sample(t, "entry2.jsonc")), `"operators"`, setting+` "operators"`, 1)
	_, err := loadEntry([]byte(text), func(string) ([]byte, error) { return []byte("no PEM"), nil })
	var faults Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Key, "tls.cert_file")
}

func TestSecretIsRedactedInAllFormats(t *testing.T) {
	is := is.New(t)
	secret := NewSecret("hidden")
	type holder struct {
		Open   Secret
		closed Secret
	}
	h := holder{Open: secret, closed: secret}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
		for _, value := range []any{secret, &secret, h, &h, []Secret{secret}, map[string]Secret{"k": secret}} {
			text := fmt.Sprintf(verb, value)
			is.True(!strings.Contains(text, "hidden"))
			is.True(!strings.Contains(strings.ToLower(text), "68696464656e")) // as hexadecimal
		}
		is.Equal(fmt.Sprintf(verb, secret), "[redacted]")
	}
	raw, err := json.Marshal(h)
	is.NoErr(err)
	is.Equal(string(raw), `{"Open":"[redacted]"}`)
	is.Equal(secret.Reveal(), "hidden")
	is.True(!Secret{}.Matches("")) // an empty secret matches nothing
}

func FuzzLoad(f *testing.F) {
	f.Add(sample(f, "entry.jsonc"))
	f.Add(sample(f, "agent.jsonc"))
	f.Add([]byte(faulty))
	absent := func(string) ([]byte, error) { return nil, os.ErrNotExist }
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := loadEntry(raw, absent)
		checkLoaded(t, e != nil, err)
		a, err := loadAgent(raw, absent)
		checkLoaded(t, a != nil, err)
	})
}

func checkLoaded(t *testing.T, loaded bool, err error) {
	t.Helper()
	var faults Faults
	if loaded == (err != nil) || (err != nil && !errors.As(err, &faults)) {
		t.Fatalf("loaded %v, error %v", loaded, err)
	}
}
