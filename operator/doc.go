// Package operator implements the operators' HTTP interface and its client:
// service documents, drains, traces and the status of an entry instance.
//
// Every edit has an If-Match header with the revision that it is based on. Every
// error is a problem document (RFC 9457) that says whether the edit applied and
// what to do next.
package operator
