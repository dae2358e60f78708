package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/tlsfiles"
)

// writeCertificate writes a new key and a self-signed certificate, which is its own
// CA, and sets the modification time of the files.
func writeCertificate(t *testing.T, dir string, changed time.Time) tlsfiles.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(changed.Unix()), Subject: pkix.Name{CommonName: "peer"},
		NotBefore: changed.Add(-time.Hour), NotAfter: changed.Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	files := tlsfiles.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	files.CA = files.Cert
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: cert},
		files.Key:  {Type: "PRIVATE KEY", Bytes: private},
	} {
		assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
		assert.NilError(t, os.Chtimes(name, changed, changed))
	}
	return files
}

// startTLSNode starts a node that uses the certificate and CA of a source.
func startTLSNode(t *testing.T, name string, s *tlsfiles.Source) (*Node, string) {
	t.Helper()
	mux := NewMux()
	Register(mux, "echo", func(_ context.Context, _ Peer, req echo) (echo, error) { return req, nil })
	n := NewNode(Peer{Instance: ident.InstanceID(name)}, []byte("s"), mux)
	n.UseTLS(s.Server(), s.Client())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = n.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); n.Close() })
	return n, l.Addr().String()
}

// TestKeysReload guards against a node that accepts a peer with a certificate of
// another CA or without TLS, that needs a restart to use changed files, or that
// replaces a valid certificate by an invalid one.
func TestKeysReload(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	dirA, dirB := t.TempDir(), t.TempDir()
	files := writeCertificate(t, dirA, now)
	writeCertificate(t, dirB, now)
	a, err := tlsfiles.New(files, clock)
	assert.NilError(t, err)
	b, err := tlsfiles.New(tlsfiles.Files{Cert: filepath.Join(dirB, "cert"), Key: filepath.Join(dirB, "key"), CA: filepath.Join(dirB, "cert")}, clock)
	assert.NilError(t, err)
	nodeA, _ := startTLSNode(t, "a", a)
	_, addrB := startTLSNode(t, "b", b)
	call := func(n *Node) error {
		return n.Call(context.Background(), addrB, "echo", echo{Text: "hi"}, &echo{})
	}
	assert.Assert(t, errors.Is(call(nodeA), ErrPeerUnreachable), "accepted a certificate of another CA")
	plain, _ := startNode(t, "plain", "s")
	assert.Assert(t, errors.Is(call(plain), ErrPeerUnreachable), "accepted a peer without TLS")

	// After a key file is written in part, the former certificate stays in use.
	now = now.Add(time.Minute)
	assert.NilError(t, os.WriteFile(files.Key, []byte("broken"), 0o600))
	assert.Assert(t, call(nodeA) != nil)
	assert.Assert(t, a.Failures.Load() > 0 && a.Reloads.Load() == 0)

	for _, name := range []string{"cert", "key"} {
		pem, err := os.ReadFile(filepath.Join(dirB, name))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dirA, name), pem, 0o600))
		assert.NilError(t, os.Chtimes(filepath.Join(dirA, name), now, now))
	}
	now = now.Add(time.Minute)
	assert.NilError(t, call(nodeA))
	assert.Equal(t, a.Reloads.Load(), uint64(1))
}
