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

// Decode reads one YAML document into the struct that out points to. Fields
// that the file does not name keep their values. The report holds unknown
// fields, duplicate fields and values of the wrong type.
func Decode(file string, b []byte, out any) *Report {
	r := &Report{File: file, index: Index{"": 1}}
	parsed, err := parser.ParseBytes(b, 0)
	if err != nil {
		r.addYAML(err, "", "write valid YAML: indent with spaces, give each field once and quote special characters")
		return r
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		r.AddAt(1, "", "the file has none or several YAML documents", "remove --- separators and leave one mapping")
		return r
	}
	r.walk(parsed.Docs[0].Body, reflect.TypeOf(out).Elem(), "")
	if len(r.problems) > 0 {
		return r
	}
	if err := yaml.UnmarshalWithOptions(b, out, yaml.Strict()); err != nil {
		r.addYAML(err, "", "correct the value")
	}
	return r
}

// addYAML records an error of the YAML library at the line it names.
func (r *Report) addYAML(err error, field, remedy string) {
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

// walk checks a node against the Go type that it will be decoded into. The
// library stops at the first error, and an operator wants to see all of them.
func (r *Report) walk(n ast.Node, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		r.walkStruct(n, t, path)
	case reflect.Slice:
		r.walkSlice(n, t, path)
	default:
		out := reflect.New(t)
		if err := yaml.NodeToValue(n, out.Interface()); err != nil {
			r.addValue(n, t, path)
		}
	}
}

func (r *Report) addValue(n ast.Node, t reflect.Type, path string) {
	r.Add(path, fmt.Sprintf("%s is not a valid value", strings.TrimSpace(n.String())), "use "+expected(t))
}

// expected describes the values of a Go type to an operator.
func expected(t reflect.Type) string {
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

func (r *Report) walkStruct(n ast.Node, t reflect.Type, path string) {
	if n.Type() == ast.NullType {
		return
	}
	m, ok := n.(ast.MapNode)
	if !ok {
		r.addValue(n, t, path)
		return
	}
	fields := fieldsOf(t)
	for it := m.MapRange(); it.Next(); {
		name := it.Key().GetToken().Value
		at := join(path, name)
		line := it.Key().GetToken().Position.Line
		if _, seen := r.index[at]; seen {
			r.AddAt(line, at, "the field is given twice", "remove one of the two")
			continue
		}
		r.index[at] = line
		field, ok := fields[name]
		if !ok {
			r.AddAt(line, at, "unknown field", "remove it or use one of "+strings.Join(namesOf(t), ", "))
			continue
		}
		r.walk(it.Value(), field, at)
	}
}

func (r *Report) walkSlice(n ast.Node, t reflect.Type, path string) {
	if n.Type() == ast.NullType {
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addValue(n, t, path)
		return
	}
	for i, v := range s.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		r.index[at] = v.GetToken().Position.Line
		r.walk(v, t.Elem(), at)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Name returns the name of a struct field in YAML, or "" when it has none.
func Name(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		if name := Name(t.Field(i)); name != "" {
			out[name] = t.Field(i).Type
		}
	}
	return out
}

func namesOf(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if name := Name(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}
