package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/strictyaml"
)

// minSecretBytes is the shortest shared secret that is accepted.
const minSecretBytes = 16

// Error lists the problems of a settings file.
type Error = strictyaml.Error

// Problem is one fault with file, line, field and remedy.
type Problem = strictyaml.Problem

// Load reads and checks a settings file, and reads the secret file it names.
func Load(file string) (Config, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Config{}, errors.Wrap(err, "read settings: name an existing file")
	}
	return Parse(file, b)
}

// Parse checks settings. The file name appears in errors and is the base of
// relative paths.
func Parse(file string, b []byte) (Config, error) {
	cfg := DefaultConfig()
	r := strictyaml.Decode(file, b, &cfg)
	if err := r.Err(); err != nil {
		return Config{}, err
	}
	r.Validate(cfg)
	cfg.fillAdvertise(r)
	cfg.readSecret(r)
	cfg.checkReferences(r)
	if err := r.Err(); err != nil {
		return Config{}, err
	}
	return cfg, nil
}

// RedactedYAML writes out the settings with every default, without the secret.
func (c Config) RedactedYAML() ([]byte, error) {
	if c.Peers.SecretFile == "" && c.Peers.Secret != "" {
		c.Peers.Secret = "(set)"
	}
	if c.Peers.SecretFile != "" {
		c.Peers.Secret = ""
	}
	b, err := yaml.Marshal(c)
	return b, errors.Wrap(err, "encode settings")
}

// LocalAddr returns DialFrom, or the zero address when it is empty.
func (c *Config) LocalAddr() netip.Addr {
	a, _ := netip.ParseAddr(c.DialFrom) // Parse has checked it.
	return a
}

// Team returns the team that owns a token with the given SHA-256.
func (c *Config) Team(tokenSHA256 string) (ident.Team, bool) {
	for _, t := range c.Operators {
		for _, h := range t.TokenSHA256 {
			if h == tokenSHA256 {
				return t.Team, true
			}
		}
	}
	return "", false
}

// fillAdvertise sets empty advertised addresses to the listen addresses, which
// then have to be specific.
func (c *Config) fillAdvertise(r *strictyaml.Report) {
	pairs := []struct {
		name      string
		listen    string
		advertise *string
	}{
		{"callers", c.Listen.Callers, &c.Advertise.Callers},
		{"peers", c.Listen.Peers, &c.Advertise.Peers},
		{"operators", c.Listen.Operators, &c.Advertise.Operators},
	}
	for _, p := range pairs {
		if *p.advertise != "" {
			continue
		}
		*p.advertise = p.listen
		if a, err := netip.ParseAddrPort(p.listen); err == nil && a.Addr().IsUnspecified() {
			r.Add("listen."+p.name, fmt.Sprintf("%q is not an address that others can connect to", p.listen),
				"set advertise."+p.name+" to this instance's own IP address and port")
		}
	}
}

func (c *Config) readSecret(r *strictyaml.Report) {
	if c.Peers.SecretFile == "" || c.Peers.Secret != "" {
		return
	}
	path := c.Peers.SecretFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(r.File), path)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		r.Add("peers.secret_file", err.Error(), "name a file that the daemon can read")
		return
	}
	c.Peers.Secret = strings.TrimSpace(string(b))
	if len(c.Peers.Secret) < minSecretBytes {
		r.Add("peers.secret_file", "the secret is too short",
			fmt.Sprintf("write at least %d random characters into the file", minSecretBytes))
	}
}

// checkReferences checks rules that span fields.
func (c *Config) checkReferences(r *strictyaml.Report) {
	if c.Limits.AccountStreamBytes > c.Limits.StreamMemoryBytes {
		r.Add("limits.account_stream_bytes", "the budget of one account exceeds the one of the process",
			"use at most limits.stream_memory_bytes")
	}
	if c.TLS.Peers != nil && c.TLS.Peers.CAFile == "" {
		r.Add("tls.peers.ca_file", "a value is required", "name the file with the certificates that sign peers")
	}
	teams := make(map[ident.Team]bool)
	tokens := make(map[string]bool)
	for i, t := range c.Operators {
		if teams[t.Team] {
			r.Add(fmt.Sprintf("operators[%d].team", i), fmt.Sprintf("team %q is listed twice", t.Team), "merge the two entries")
		}
		teams[t.Team] = true
		for j, h := range t.TokenSHA256 {
			if tokens[h] {
				r.Add(fmt.Sprintf("operators[%d].token_sha256[%d]", i, j), "the token is listed twice", "give each team its own token")
			}
			tokens[h] = true
		}
	}
}
