// Package engine is a stand-in for a model engine: one member of a group that
// speaks the protocol of package github.com/bulrushfall/bulrushfall/engine. It
// generates deterministic text, dies when it holds more than it can bear, and
// records what it saw so that the promises can be checked from outside. Many
// engines run in one process.
package engine
