// Package tlsfiles reads TLS keys from files and reads them again when the files
// change, so that certificates are replaced without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the time between looks at the files.
const checkInterval = time.Second

// Files names PEM files. CA may be empty when peers are not authenticated.
type Files struct {
	Cert, Key, CA string
}

// Source holds the keys of a set of files.
type Source struct {
	files Files
	now   func() time.Time
	// Failures counts changed files that could not be used. The former keys
	// stay in use.
	Failures atomic.Uint64
	// Reloads counts changes that took effect.
	Reloads atomic.Uint64

	mu             sync.Mutex
	lastCheck      time.Time
	loadedModTimes [3]time.Time
	cert           *tls.Certificate
	ca             *x509.CertPool
}

// New reads the files.
func New(files Files, now func() time.Time) (*Source, error) {
	s := &Source{files: files, now: now, lastCheck: now()}
	stamp, err := s.modTimes()
	if err != nil {
		return nil, err
	}
	return s, s.load(stamp)
}

// stamps returns the times of change of the files.
func (s *Source) modTimes() ([3]time.Time, error) {
	var out [3]time.Time
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, errors.Wrap(err, "look at TLS file: name an existing file")
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

// load reads all files and takes them over together.
func (s *Source) load(stamp [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load %s and %s: give a matching certificate and key in PEM", s.files.Cert, s.files.Key)
	}
	var ca *x509.CertPool
	if s.files.CA != "" {
		b, err := os.ReadFile(s.files.CA)
		if err != nil {
			return errors.Wrap(err, "read CA file: name an existing file")
		}
		ca = x509.NewCertPool()
		if !ca.AppendCertsFromPEM(b) {
			return errors.Errorf("%s holds no certificate: give one or more in PEM", s.files.CA)
		}
	}
	s.cert, s.ca, s.loadedModTimes = &cert, ca, stamp
	return nil
}

// current returns the keys, after a look at the files if it is time for one.
// While a certificate and its key are replaced one after the other they do not
// match; the former keys stay in use until they do.
func (s *Source) currentKeys() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		s.reloadIfChanged()
	}
	return s.cert, s.ca
}

func (s *Source) reloadIfChanged() {
	stamp, err := s.modTimes()
	if err == nil && stamp == s.loadedModTimes {
		return
	}
	if err == nil {
		err = s.load(stamp)
	}
	if err != nil {
		s.Failures.Add(1)
		return
	}
	s.Reloads.Add(1)
}

// Server returns a configuration for accepting connections.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, ca := s.currentKeys()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if ca != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, ca
			}
			return c, nil
		},
	}
}

// Client returns a configuration for connecting to processes whose certificate
// descends from the CA. Addresses of instances change, so that certificates
// name none; the peer handshake checks the identity.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.currentKeys()
			return cert, nil
		},
		// VerifyConnection replaces the check that this turns off: it verifies
		// the chain against the current CA and leaves out the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Source) verify(state tls.ConnectionState) error {
	_, ca := s.currentKeys()
	if ca == nil || len(state.PeerCertificates) == 0 {
		return errors.New("no CA to verify the peer's certificate: set ca_file")
	}
	rest := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		rest.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: ca, Intermediates: rest, CurrentTime: s.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}
