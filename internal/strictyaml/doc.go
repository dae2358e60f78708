// Package strictyaml decodes YAML into structs, rejects unknown and duplicate
// fields, and reports all problems at once, each with file, line, field and
// remedy.
package strictyaml
