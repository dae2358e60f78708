// Package ident defines the identifier types shared by all packages.
package ident

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. Each has its own type, so that the compiler rejects a wrong one.
type (
	// InstanceID identifies an instance: an entry instance or a backend server.
	InstanceID string
	// Incarnation identifies a run of a process. It changes at each restart.
	Incarnation string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a region, which contains several data centres.
	Region string
	// Domain names a fabric domain: a set of instances with a fast interconnect.
	Domain string
	// Partner names the company that operates a set of backend servers.
	Partner string
	// GroupID identifies a group: the instances that together run one replica.
	GroupID string
	// Account names a client account.
	Account string
	// Team names the team that owns a service document.
	Team string
	// ServiceName names a service.
	ServiceName string
	// AttemptID identifies one dispatch of a request to a backend server, or one
	// edit of the configuration.
	AttemptID string
)

// Epoch is the fencing token of a group or lease. The epoch of one group or lease
// never decreases.
type Epoch uint64

// Revision numbers the accepted configuration changes in order: each has a higher
// revision than the one before.
type Revision uint64

// Fingerprint identifies a request by its service and content.
type Fingerprint uint64

// NewFingerprint hashes the service name and the parts of the canonical request body.
func NewFingerprint(service ServiceName, body ...[]byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(service))
	_, _ = d.Write([]byte{0})
	for _, part := range body {
		_, _ = d.Write(part)
	}
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// Score returns a pseudo-random weight of owner for key. The owner with the
// highest score owns the key (rendezvous hashing).
func Score(key string, owner InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(owner))
	return d.Sum64()
}
