package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Decode decodes one YAML document into the struct that out points to. Fields
// that the file does not set keep their values. The report holds unknown fields,
// duplicate fields and values of the wrong type.
func Decode(file string, b []byte, out any) *Report {
	r := &Report{File: file, index: Index{"": 1}}
	parsed, err := parser.ParseBytes(b, 0)
	if err != nil {
		r.addYAMLError(err, "", "write valid YAML: indent with spaces, give each field once and quote special characters")
		return r
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		r.AddAt(1, "", "the file has none or several YAML documents", "remove --- separators and leave one mapping")
		return r
	}
	r.checkNode(parsed.Docs[0].Body, reflect.TypeOf(out).Elem(), "")
	if len(r.problems) > 0 {
		return r
	}
	if err := yaml.UnmarshalWithOptions(b, out, yaml.Strict()); err != nil {
		r.addYAMLError(err, "", "correct the value")
	}
	return r
}

// addYAMLError adds an error of the YAML library. Its line is that of the field, or
// the line in the error if field is empty.
func (r *Report) addYAMLError(err error, field, remedy string) {
	var ye yaml.Error
	if !errors.As(err, &ye) {
		r.Add(field, err.Error(), remedy)
		return
	}
	line := r.index.Line(field)
	if t := ye.GetToken(); t != nil && t.Position != nil && field == "" {
		line = t.Position.Line
	}
	r.AddAt(line, field, ye.GetMessage(), remedy)
}

// checkNode checks a node against the Go type that it will be decoded into. The
// YAML library stops at the first error, but all of them have to be reported.
func (r *Report) checkNode(n ast.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		r.checkMapping(n, t, path)
	case reflect.Slice:
		r.checkSequence(n, t, path)
	default:
		out := reflect.New(t)
		if err := yaml.NodeToValue(n, out.Interface()); err != nil {
			r.addInvalidValue(n, t, path)
		}
	}
}

func (r *Report) addInvalidValue(n ast.Node, t reflect.Type, path string) {
	r.Add(path, fmt.Sprintf("%s is not a valid value", strings.TrimSpace(n.String())), "use "+describeType(t))
}

// describeType describes the valid values of a Go type for a remedy.
func describeType(t reflect.Type) string {
	switch {
	case t.PkgPath() == "time" && t.Name() == "Duration":
		return "a duration such as 500ms, 10s or 24h"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Struct:
		return "a mapping of fields"
	case t.Kind() == reflect.Slice:
		return "a list"
	default:
		return "a whole number"
	}
}

func (r *Report) checkMapping(n ast.Node, t reflect.Type, path string) {
	if n.Type() == ast.NullType {
		return
	}
	m, ok := n.(ast.MapNode)
	if !ok {
		r.addInvalidValue(n, t, path)
		return
	}
	fields := fieldTypes(t)
	for it := m.MapRange(); it.Next(); {
		name := it.Key().GetToken().Value
		fieldPath := joinPath(path, name)
		line := it.Key().GetToken().Position.Line
		if _, duplicate := r.index[fieldPath]; duplicate {
			r.AddAt(line, fieldPath, "the field is given twice", "remove one of the two")
			continue
		}
		r.index[fieldPath] = line
		field, ok := fields[name]
		if !ok {
			r.AddAt(line, fieldPath, "unknown field", "remove it or use one of "+strings.Join(fieldNames(t), ", "))
			continue
		}
		r.checkNode(it.Value(), field, fieldPath)
	}
}

func (r *Report) checkSequence(n ast.Node, t reflect.Type, path string) {
	if n.Type() == ast.NullType {
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addInvalidValue(n, t, path)
		return
	}
	for i, v := range s.Values {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		r.index[elementPath] = v.GetToken().Position.Line
		r.checkNode(v, t.Elem(), elementPath)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// FieldName returns the YAML name of a struct field, or "" if it has none.
func FieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		if name := FieldName(t.Field(i)); name != "" {
			out[name] = t.Field(i).Type
		}
	}
	return out
}

func fieldNames(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if name := FieldName(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}
