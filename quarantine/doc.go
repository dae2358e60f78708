// Package quarantine keeps a request that crashes backend servers from crashing
// more than two of them, however often its caller resends it.
//
// Tracker records which requests were in flight on a backend server that crashed.
// These are suspects. A suspect may run again only in an isolated run, as the only
// suspect on its backend server. If this backend server crashes too, the request
// is convicted: it is refused until the conviction expires. Owner serialises the
// isolated runs of one suspect over all entry instances.
//
// Correlator finds what different requests have in common that crash backend servers,
// as a part of their prompts, and refuses requests with it.
//
// All are deterministic and do no I/O. The caller serialises the calls and passes
// the time of the local monotonic clock.
package quarantine
