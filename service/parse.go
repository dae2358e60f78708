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

// Problem is one fault with file, line, field and remedy.
type Problem = strictyaml.Problem

// Defaults of an account that its entry does not name. The burst defaults to
// one second of the rate.
const (
	defaultWeight            = 1
	defaultRequestsPerSecond = 100
	defaultConcurrency       = 64
)

// DefaultDocument holds the values that apply where a document is silent.
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

// Parse reads and checks one document: unknown fields are errors.
func Parse(b []byte) (Document, error) {
	return ParseFile("document", b)
}

// ParseFile is Parse with the name of the file for errors. The error is an
// *Error that holds every problem found.
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

// Check checks a document that did not come from YAML.
func (d *Document) Check() error {
	r := &strictyaml.Report{File: string(d.Service)}
	d.check(r)
	return r.Err()
}

// YAML writes the document out with every default.
func (d Document) YAML() ([]byte, error) {
	b, err := yaml.Marshal(d)
	return b, errors.Wrap(err, "encode service document")
}

// fillAccounts sets what the entries of accounts do not name. A value of zero
// that the file does name is left for the check to refuse.
func (d *Document) fillAccounts(r *strictyaml.Report) {
	for i := range d.Accounts {
		a := &d.Accounts[i]
		at := func(name string) bool { return r.Given(accountField(i, name)) }
		if !at("weight") {
			a.Weight = defaultWeight
		}
		if !at("requests_per_second") {
			a.RequestsPerSecond = defaultRequestsPerSecond
		}
		if !at("burst") {
			a.Burst = max(1, int(math.Ceil(a.RequestsPerSecond)))
		}
		if !at("concurrency") {
			a.Concurrency = defaultConcurrency
		}
	}
}

// Account returns the account whose key has the given SHA-256.
func (d *Document) Account(keySHA256 string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.KeySHA256 == keySHA256 {
			return a, true
		}
	}
	return Account{}, false
}
