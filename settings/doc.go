// Package settings holds the daemon's settings: one YAML file per entry
// instance, read strictly. Every error names file, line, field and remedy.
package settings
