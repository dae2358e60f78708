// Package experiment implements the benchmarks of bulrushfall: measurements of a
// cluster of local processes, deterministic simulations of single components, and
// comparisons of both with baselines.
package experiment
