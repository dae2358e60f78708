// Package quarantine keeps a request that crashes backend servers from costing
// more than two of them. Tracker remembers which requests were in flight on a
// backend server that crashed (suspects) and which crashed one again while they
// were the only suspect there, which is called a run alone (convicted). Owner serialises the runs of one suspect over all entry
// instances. Both are deterministic and without I/O; the caller serialises
// calls and passes the time of the local monotonic clock.
package quarantine
