// Package settings defines and loads the daemon's settings: one YAML file per
// entry instance. Unknown fields are errors. Every error names file, line, field
// and remedy.
package settings
