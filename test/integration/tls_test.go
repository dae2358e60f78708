package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/cluster"
	standinengine "github.com/bulrushfall/bulrushfall/standin/engine"
)

// certificateHost is the DNS name in the certificates of entry instances.
const certificateHost = "entry.example"

// certificateAuthority signs the certificates of a test.
type certificateAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	a.writePEM("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

// sign returns a certificate that the authority signed. The first certificate is
// self-signed: it is that of the authority.
func (a *certificateAuthority) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Minute), time.Now().Add(time.Hour)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	parent, signer := template, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(a.t, err)
	return cert, key
}

// issueCertificate writes a new certificate and key of the entry instances.
func (a *certificateAuthority) issueCertificate(serial int64) {
	a.t.Helper()
	cert, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{certificateHost}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	a.writePEM("key.pem", "EC PRIVATE KEY", der)
	a.writePEM("cert.pem", "CERTIFICATE", cert.Raw)
}

func (a *certificateAuthority) writePEM(name, kind string, der []byte) {
	a.t.Helper()
	assert.NilError(a.t, os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// settingsYAML returns the settings that enable TLS for callers and peers.
func (a *certificateAuthority) settingsYAML() string {
	return fmt.Sprintf(`tls:
  callers:
    cert_file: %[1]s/cert.pem
    key_file: %[1]s/key.pem
  peers:
    cert_file: %[1]s/cert.pem
    key_file: %[1]s/key.pem
    ca_file: %[1]s/ca.pem
`, a.dir)
}

// clientConfig returns the configuration of a client that verifies entry
// instances and has no certificate.
func (a *certificateAuthority) clientConfig() *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: certificateHost}
}

// presentedSerial returns the serial number of the certificate that the server at
// an address presents, or 0 if the connection fails.
func (a *certificateAuthority) presentedSerial(address string) int64 {
	conn, err := tls.Dial("tcp", address, a.clientConfig())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestTLS guards against streams that fail when callers and peers use TLS, against
// accepting peers without a certificate of the authority, and against new keys
// that need a restart or abort a running stream.
func TestTLS(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	a.issueCertificate(2)
	r := startRig(t, func(cfg *cluster.Config) { cfg.ExtraSettings += a.settingsYAML() })
	r.scheme, r.client = "https", &http.Client{Transport: &http.Transport{TLSClientConfig: a.clientConfig()}}
	r.waitGroups()
	e := r.testCluster.Entries[0]
	first, lastID := r.readEvents(e, t.Name(), "", func(tokens int) {
		if tokens == 10 {
			a.issueCertificate(3)
		}
	})
	req := request(t.Name(), streamTokens)
	assert.Equal(t, strings.Join(first, ""), standinengine.ExpectedText(&req, streamTokens), "last event %s", lastID)
	r.waitUntil("the new certificate is used", func() bool { return a.presentedSerial(e.CallerAddress) == 3 })

	rawConn, err := net.Dial("tcp", e.PeerAddress)
	assert.NilError(t, err)
	config := a.clientConfig()
	conn := tls.Client(rawConn, config)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	if err = conn.Handshake(); err == nil {
		// In TLS 1.3 the client gets the server's refusal at its first read.
		_, err = conn.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "certificate required")

	second := t.Name() + " again"
	text, _ := r.readEvents(r.testCluster.Entries[1], second, "", func(int) {})
	req = request(second, streamTokens)
	assert.Equal(t, strings.Join(text, ""), standinengine.ExpectedText(&req, streamTokens))
	r.checkHistory()
}
