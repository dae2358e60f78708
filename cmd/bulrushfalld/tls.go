package main

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/internal/tlsfiles"
	"github.com/bulrushfall/bulrushfall/settings"
	"github.com/bulrushfall/bulrushfall/wire"
)

// usePeerTLS enables TLS on connections to and from peers if the settings name
// key files.
func usePeerTLS(n *wire.Node, files *settings.TLSFiles) error {
	if files == nil {
		return nil
	}
	s, err := loadTLSFiles(*files)
	if err != nil {
		return errors.Wrap(err, "tls.peers")
	}
	n.UseTLS(s.Server(), s.Client())
	return nil
}

// withCallerTLS wraps the callers' listener in TLS if the settings name key
// files. Callers need no certificate, so a CA file is ignored.
func withCallerTLS(l net.Listener, files *settings.TLSFiles) (net.Listener, error) {
	if files == nil {
		return l, nil
	}
	s, err := loadTLSFiles(settings.TLSFiles{CertFile: files.CertFile, KeyFile: files.KeyFile})
	if err != nil {
		return nil, errors.Wrap(err, "tls.callers")
	}
	return tls.NewListener(l, s.Server()), nil
}

// loadTLSFiles returns a source of TLS configurations from key files.
func loadTLSFiles(f settings.TLSFiles) (*tlsfiles.Source, error) {
	return tlsfiles.New(tlsfiles.Files{Cert: f.CertFile, Key: f.KeyFile, CA: f.CAFile}, time.Now)
}
