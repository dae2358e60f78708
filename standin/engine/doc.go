// Package engine simulates a model engine: one member of a group that speaks
// the protocol of package github.com/bulrushfall/bulrushfall/engine. It
// generates deterministic text and crashes when its load exceeds its limits. It
// records commands, requests and state changes, so that a test can check the
// system's guarantees from the outside. An engine is cold after a start and after
// it loaded weights that were not in memory; until it is warm, ColdLimit bounds the
// requests that it can handle. Many engines can run in one process.
package engine
