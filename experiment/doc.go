// Package experiment measures parts of bulrushfall in one process and compares
// them with baselines.
package experiment
