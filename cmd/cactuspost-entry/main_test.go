package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/settings"
)

const sampleFile = "../../samples/entry.jsonc"

func TestCheckAcceptsSampleWithoutListening(t *testing.T) {
	is := is.New(t)
	is.NoErr(command().Run(t.Context(), []string{"cactuspost-entry", "--settings", sampleFile, "--check"}))
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(sampleFile)
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "entry.jsonc")
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(string(raw), `"name"`, `"nam"`, 1)), 0o600))
	is.True(command().Run(t.Context(), []string{"cactuspost-entry", "--settings", file}) != nil)
	is.True(command().Run(t.Context(), []string{"cactuspost-entry", "--settings", file + "x"}) != nil)
}

func TestConfigFromSettings(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(sampleFile)
	is.NoErr(err)
	loaded, err := settings.LoadEntry(raw)
	is.NoErr(err)
	config, err := entryConfig(t.Context(), loaded)
	is.NoErr(err)
	is.Equal(config.Self.LinkAddress, loaded.Advertise.Link)
	is.Equal(config.Limits, loaded.Limits)
	is.True(config.Store != nil && config.Settle > 0 && config.TLS == nil)
	loaded.TLS = &settings.TLS{CertFile: sampleFile, KeyFile: sampleFile}
	_, err = entryConfig(t.Context(), loaded)
	is.True(err != nil)
}
