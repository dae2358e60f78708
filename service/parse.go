package service

import (
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
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

// Parse reads one document strictly: unknown fields are errors.
func Parse(b []byte) (Document, error) {
	doc := DefaultDocument()
	if err := yaml.UnmarshalWithOptions(b, &doc, yaml.Strict()); err != nil {
		return Document{}, errors.Wrap(err, "parse service document")
	}
	return doc, nil
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
