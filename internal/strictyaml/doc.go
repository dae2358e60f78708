// Package strictyaml decodes YAML into structs strictly and reports every
// problem at once, each with file, line, field and remedy.
package strictyaml
