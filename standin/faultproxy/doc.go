// Package faultproxy forwards TCP and UDP traffic between loopback addresses
// and injects faults on command: latency, loss, one-way drops, silenced
// connections (established connections that stay open but forward nothing, while
// new ones work), limited bandwidth, and network partitions, also of one direction,
// between named groups of processes. Counters let a test verify that a fault took
// effect. Loss is injected at every n-th event instead of at random, so that each
// run of a test sees the same fault.
package faultproxy
