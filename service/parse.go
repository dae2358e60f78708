package service

import (
	"math"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/internal/strictyaml"
)

// Error lists the problems of a document.
type Error = strictyaml.Error

// Problem is one error in a document, with its file, line, field and remedy.
type Problem = strictyaml.Problem

// Defaults for account fields that a document does not set. The burst defaults
// to the number of requests in one second at the account's rate.
const (
	defaultWeight            = 1
	defaultRequestsPerSecond = 100
	defaultConcurrency       = 64
)

// DefaultDocument returns the default values of fields that a document does not
// set.
func DefaultDocument() Document {
	return Document{
		Class:    ClassInteractive,
		Deadline: 10 * time.Second,
		Replicas: Replicas{InstancesPerReplica: 1},
		Backend: Backend{
			Requests:     16,
			ColdRequests: 1,
			HeldTokens:   100_000,
			ColdRamp:     10 * time.Second,
		},
		OutcomeRetention: 24 * time.Hour,
	}
}

// Parse decodes and validates one document. Unknown fields are errors.
func Parse(b []byte) (Document, error) {
	return ParseFile("document", b)
}

// ParseFile is like Parse but uses the file name in errors. The error is an
// *Error with every problem found.
func ParseFile(file string, b []byte) (Document, error) {
	doc := DefaultDocument()
	r := strictyaml.Decode(file, b, &doc)
	if err := r.Err(); err != nil {
		return Document{}, err
	}
	doc.fillAccounts(r)
	doc.check(r)
	if err := r.Err(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// Check validates a document that was not parsed from YAML.
func (d *Document) Check() error {
	r := &strictyaml.Report{File: string(d.Service)}
	d.check(r)
	return r.Err()
}

// YAML returns the document as YAML with all defaults.
func (d Document) YAML() ([]byte, error) {
	b, err := yaml.Marshal(d)
	return b, errors.Wrap(err, "encode service document")
}

// fillAccounts sets the defaults of account fields that the file does not set. An
// explicit zero stays, so that check rejects it.
func (d *Document) fillAccounts(r *strictyaml.Report) {
	for i := range d.Accounts {
		a := &d.Accounts[i]
		hasField := func(name string) bool { return r.HasField(accountField(i, name)) }
		if !hasField("weight") {
			a.Weight = defaultWeight
		}
		if !hasField("requests_per_second") {
			a.RequestsPerSecond = defaultRequestsPerSecond
		}
		if !hasField("burst") {
			a.Burst = max(1, int(math.Ceil(a.RequestsPerSecond)))
		}
		if !hasField("concurrency") {
			a.Concurrency = defaultConcurrency
		}
	}
}

// Account returns the account whose bearer key has the given SHA-256.
func (d *Document) Account(keySHA256 string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.KeySHA256 == keySHA256 {
			return a, true
		}
	}
	return Account{}, false
}
