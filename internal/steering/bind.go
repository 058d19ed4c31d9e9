package steering

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// binder copies a syntax tree into Go values and reports every unknown key and every invalid value.
type binder struct {
	source *source
	report *Report
}

// bindFile reads the text of file into target, a pointer to a struct that holds the defaults. Keys
// are those of the json tags; a field with the tag file:"required" has to be present. It returns
// the source for later checks, or nil if the file could not be parsed.
func bindFile(file string, text []byte, target any, report *Report) *source {
	s := &source{file: file, text: text, offsets: make(map[string]int), invalid: make(map[string]bool)}
	value, ok := s.parse(report)
	if !ok {
		return nil
	}
	b := &binder{source: s, report: report}
	b.bind(&value, reflect.ValueOf(target).Elem(), "")
	return s
}

func (b *binder) bind(v *hujson.Value, target reflect.Value, path string) {
	b.source.offsets[path] = v.StartOffset
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		b.bindText(v, text, target.Type(), path)
		return
	}
	if target.Type() == reflect.TypeFor[Duration]() {
		b.bindDuration(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		b.bindObject(v, target, path)
	case reflect.Slice:
		b.bindArray(v, target, path)
	default:
		b.bindLiteral(v, target, path)
	}
}

func (b *binder) fault(v *hujson.Value, path, found, allowed string) {
	b.source.invalid[path] = true
	b.report.fault(b.source.position(v.StartOffset), path, found, allowed)
}

func (b *binder) bindObject(v *hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		b.fault(v, path, describe(v), "an object")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(fields))
	for i := range object.Members {
		name := literalString(&object.Members[i].Name)
		b.bindMember(&object.Members[i], name, target, path, seen)
		seen[name] = true
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			b.fault(v, join(path, f.name), "no such key", "the key is required")
		}
	}
}

func (b *binder) bindMember(m *hujson.ObjectMember, name string, target reflect.Value, path string, seen map[string]bool) {
	if seen[name] {
		b.report.fault(b.source.position(m.Name.StartOffset), join(path, name), "the key a second time", "each key once")
		return
	}
	for _, f := range fieldsOf(target.Type()) {
		if f.name == name {
			b.bind(&m.Value, target.Field(f.index), join(path, name))
			return
		}
	}
	b.report.fault(b.source.position(m.Name.StartOffset), path, "unknown key "+quote(name), "one of "+fieldNames(target.Type()))
}

func (b *binder) bindArray(v *hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		b.fault(v, path, describe(v), "an array")
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		element := slice.Index(i)
		setDefaults(element)
		b.bind(&array.Elements[i], element, fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(slice)
}

// setDefaults fills an element of an array with its type's defaults.
func setDefaults(element reflect.Value) {
	if d, ok := element.Addr().Interface().(interface{ setDefaults() }); ok {
		d.setDefaults()
	}
}

func (b *binder) bindText(v *hujson.Value, target encoding.TextUnmarshaler, t reflect.Type, path string) {
	if v.Value.Kind() != '"' {
		b.fault(v, path, describe(v), allowedText(t))
		return
	}
	if err := target.UnmarshalText([]byte(literalString(v))); err != nil {
		b.fault(v, path, describe(v), allowedText(t))
	}
}

func allowedText(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Class]():
		return "one of " + strings.Join(classNames[:], ", ")
	case reflect.TypeFor[time.Time]():
		return `a time such as "2030-01-31T22:00:00Z"`
	}
	return "a string"
}

func (b *binder) bindDuration(v *hujson.Value, target reflect.Value, path string) {
	const allowed = `a duration such as "250ms"`
	if v.Value.Kind() != '"' {
		b.fault(v, path, describe(v), allowed)
		return
	}
	d, err := time.ParseDuration(literalString(v))
	if err != nil {
		b.fault(v, path, describe(v), allowed)
		return
	}
	target.SetInt(int64(d))
}

func (b *binder) bindLiteral(v *hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		b.fault(v, path, describe(v), allowedKind(target.Kind()))
		return
	}
	if !setLiteral(literal, target) {
		b.fault(v, path, describe(v), allowedKind(target.Kind()))
	}
}

// setLiteral sets target to literal if the types match, and reports whether they do.
func setLiteral(literal hujson.Literal, target reflect.Value) bool {
	kind := literal.Kind()
	switch target.Kind() {
	case reflect.String:
		if kind != '"' {
			return false
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			return false
		}
		target.SetBool(literal.Bool())
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if kind != '0' || err != nil {
			return false
		}
		target.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(literal), 64)
		if kind != '0' || err != nil || math.IsInf(f, 0) {
			return false
		}
		target.SetFloat(f)
	default:
		return false
	}
	return true
}

func allowedKind(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "a string"
}

// describe returns a short description of v for a fault.
func describe(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return quote(literalString(v))
	}
	return shorten(fmt.Sprint(v.Value))
}

func literalString(v *hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}

func quote(text string) string { return strconv.Quote(shorten(text)) }

// shorten truncates text that would make a message unreadable.
func shorten(text string) string {
	const maxBytes = 60 // bytes
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
