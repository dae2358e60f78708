package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const valid = `instance: entry-1
region: bg-north
data_centre: dc-a
platform:
  url: http://127.0.0.1:7000
peers:
  secret: 0123456789abcdef
  seeds: [127.0.0.1:7181]
operators:
  - team: quotes
    token_sha256: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
`

// TestDefaults guards against a default that is lost when the file is silent.
func TestDefaults(t *testing.T) {
	c, err := Parse("s.yaml", []byte(valid))
	assert.NilError(t, err)
	assert.Assert(t, !c.LocalAddr().IsValid())
	assert.Equal(t, c.LookupTTL, 2*time.Second)
	assert.Equal(t, c.Advertise.Peers, c.Listen.Peers)
	team, ok := c.Team("9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08")
	assert.Assert(t, ok && team == "quotes")
}

// TestProblems guards against an error that lacks its line or field, and
// against a report that stops at the first fault.
func TestProblems(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []Problem
	}{
		{"unknown fields", valid + "colour: red\nlimits:\n  bodies: 3\n", []Problem{
			{Line: 12, Field: "colour"}, {Line: 14, Field: "limits.bodies"},
		}},
		{"types", valid + "lookup_ttl: soon\nlimits:\n  max_body_bytes: many\n", []Problem{
			{Line: 12, Field: "lookup_ttl"}, {Line: 14, Field: "limits.max_body_bytes"},
		}},
		{"values", valid + "lookup_ttl: 1h\nlisten:\n  callers: localhost:80\n  peers: 0.0.0.0:81\n", []Problem{
			{Line: 12, Field: "lookup_ttl"}, {Line: 14, Field: "listen.callers"}, {Line: 15, Field: "listen.peers"},
		}},
		{"local address", valid + "dial_from: 127.0.0.1:80\n", []Problem{{Line: 12, Field: "dial_from"}}},
		{"unspecified local address", valid + "dial_from: 0.0.0.0\n", []Problem{{Line: 12, Field: "dial_from"}}},
		{"twice", valid + "region: x\n", []Problem{{Line: 12}}},
		{"syntax", "instance: [\n", []Problem{{Line: 1}}},
		{"empty", "", []Problem{{Line: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("s.yaml", []byte(c.text))
			var e *Error
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Equal(t, len(e.Problems), len(c.want), "%v", err)
			for i, p := range e.Problems {
				assert.Equal(t, p.Line, c.want[i].Line, "%v", p)
				assert.Equal(t, p.Field, c.want[i].Field, "%v", p)
				assert.Assert(t, p.File == "s.yaml" && p.Message != "" && p.Remedy != "", "%v", p)
			}
		})
	}
}

// TestSecretFile guards against a secret read with its line end, and against a
// daemon that starts without a secret.
func TestSecretFile(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "s.yaml")
	text := []byte("instance: e\nregion: r\ndata_centre: d\nplatform: {url: 'http://127.0.0.1:1'}\npeers: {secret_file: secret}\n")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	_, err := Load(file)
	assert.ErrorContains(t, err, "s.yaml:5: peers.secret_file")
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte("0123456789abcdef\n"), 0o600))
	c, err := Load(file)
	assert.NilError(t, err)
	assert.Equal(t, c.Peers.Secret, "0123456789abcdef")
	out, err := c.RedactedYAML()
	assert.NilError(t, err)
	_, err = Parse(file, out)
	assert.NilError(t, err)
}

// TestExample guards against an example that the daemon refuses.
func TestExample(t *testing.T) {
	_, err := Load(filepath.Join("..", "examples", "settings.yaml"))
	assert.NilError(t, err)
}
