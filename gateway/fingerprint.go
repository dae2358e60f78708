package gateway

import (
	"bytes"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/bulrushfall/bulrushfall/ident"
)

// fingerprint identifies a request by the work that it causes at a backend server.
// The order of members and the whitespace in a JSON body do not matter, nor does
// the stream member.
func fingerprint(r *Request) ident.Fingerprint {
	if r.Completion == nil {
		// Calls to a plain service may differ in method, path and query only.
		return ident.NewFingerprint(r.Name, append([]byte(r.Method+" "+r.Path+"?"+r.Query+"\n"), r.Body...))
	}
	content, err := canonicalContent(r.Body)
	if err != nil {
		return ident.NewFingerprint(r.Name, r.Body)
	}
	return ident.NewFingerprint(r.Name, content)
}

// canonicalContent returns the members of a JSON object in the canonical form of
// RFC 8785, without the "stream" member.
func canonicalContent(body []byte) ([]byte, error) {
	// Bodies that a backend server may accept must be accepted here too. Otherwise
	// they would be fingerprinted byte by byte, and another layout of the same
	// JSON would not be refused as the request that crashed backend servers.
	lenient := jsontext.AllowDuplicateNames(true)
	object := jsontext.Value(bytes.Clone(body))
	if err := object.Canonicalize(lenient, jsontext.AllowInvalidUTF8(true)); err != nil {
		return nil, err
	}
	d := jsontext.NewDecoder(bytes.NewBuffer(object), lenient)
	if _, err := d.ReadToken(); err != nil {
		return nil, err
	}
	out := make([]byte, 0, len(object))
	for d.PeekKind() == '"' {
		name, err := d.ReadValue()
		if err != nil {
			return nil, err
		}
		if string(name) == `"stream"` {
			if err := d.SkipValue(); err != nil {
				return nil, err
			}
			continue
		}
		out = append(append(out, name...), ':')
		value, err := d.ReadValue()
		if err != nil {
			return nil, err
		}
		out = append(append(out, value...), ',')
	}
	return out, nil
}
