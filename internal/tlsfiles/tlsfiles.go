// Package tlsfiles loads TLS certificates and keys from files and reloads them when
// the files change, so that they can be replaced without a restart.
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

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// Files contains the paths of PEM files. CA may be empty if certificates of the other
// end are not verified.
type Files struct {
	Cert, Key, CA string
}

// Source provides the certificate, key and CA of a set of files.
type Source struct {
	files Files
	now   func() time.Time
	// Failures counts failed checks for changes and failed reloads. After one, the
	// former certificate and CA stay in use.
	Failures atomic.Uint64
	// Reloads counts successful reloads.
	Reloads atomic.Uint64

	mu             sync.Mutex
	lastCheck      time.Time
	loadedModTimes [3]time.Time
	cert           *tls.Certificate
	ca             *x509.CertPool
}

// New loads the files.
func New(files Files, now func() time.Time) (*Source, error) {
	s := &Source{files: files, now: now, lastCheck: now()}
	times, err := s.modTimes()
	if err != nil {
		return nil, err
	}
	return s, s.load(times)
}

// modTimes returns the modification times of the files.
func (s *Source) modTimes() ([3]time.Time, error) {
	var out [3]time.Time
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, errors.Wrap(err, "check TLS file: name an existing file")
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

// load reads all files. It changes the source only if all of them are valid.
func (s *Source) load(times [3]time.Time) error {
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
			return errors.Errorf("%s contains no certificate: give one or more in PEM", s.files.CA)
		}
	}
	s.cert, s.ca, s.loadedModTimes = &cert, ca, times
	return nil
}

// currentCertificates returns the certificate and CA. It reloads changed files first
// if the last check was at least checkInterval ago. While a certificate and its key are being replaced one
// after the other they do not match; the former ones stay in use until they do.
func (s *Source) currentCertificates() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		s.reloadIfChanged()
	}
	return s.cert, s.ca
}

// reloadIfChanged loads the files if one of them changed. The caller holds s.mu.
func (s *Source) reloadIfChanged() {
	times, err := s.modTimes()
	if err == nil && times == s.loadedModTimes {
		return
	}
	if err == nil {
		err = s.load(times)
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
			cert, ca := s.currentCertificates()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if ca != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, ca
			}
			return c, nil
		},
	}
}

// Client returns a configuration for connections to processes whose certificate was
// issued by the CA. Certificates contain no address, because the addresses of
// instances change; the peer handshake checks the identity.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.currentCertificates()
			return cert, nil
		},
		// This disables the standard verification. VerifyConnection replaces it: it
		// verifies the chain against the current CA, but not the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Source) verify(state tls.ConnectionState) error {
	_, ca := s.currentCertificates()
	if ca == nil || len(state.PeerCertificates) == 0 {
		return errors.New("cannot verify the peer: ca_file is not set or the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: ca, Intermediates: intermediates, CurrentTime: s.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}
