package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/settings"
)

func TestLinesHaveNumberNameAndFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, event.Warning).With(zap.String("daemon", "entry"))
	log.Event(event.DaemonStarted) // below the level
	log.Event(event.TokenRefused, zap.String("from", "line\nbreak"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 1) // a line break in a field stays inside its line
	var line struct {
		Event                        int
		Name, Severity, Daemon, From string
	}
	is.NoErr(json.Unmarshal([]byte(lines[0]), &line))
	is.Equal(line.Event, 4021)
	is.Equal(line.Name, "token refused")
	is.Equal(line.Severity, "warning")
	is.Equal(line.Daemon, "entry")
	is.Equal(line.From, "line\nbreak")
}

func TestSecretsAreRedacted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := New(&out, event.Info)
	secret := settings.NewSecret("hidden")
	caller := settings.Caller{Team: "rivage", Token: secret}
	log.With(zap.Any("a", secret)).Event(event.DaemonStarted,
		zap.Any("b", caller), zap.Reflect("c", &caller), zap.Stringer("d", secret), zap.Any("e", []settings.Caller{caller}))
	is.True(strings.Count(out.String(), "[redacted]") == 5)
	is.True(!strings.Contains(out.String(), "hidden"))
}
