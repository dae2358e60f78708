// Package operator is the operators' HTTP interface and its client: service
// documents, drains and the status of an entry instance.
//
// Every edit names the revision that the operator saw, in If-Match. Every
// refusal is a problem document (RFC 9457) that says whether the edit applied
// and what to do next.
package operator
