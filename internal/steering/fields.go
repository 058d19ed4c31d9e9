package steering

import (
	"reflect"
	"strings"
)

// field is a field of a struct that a file may set.
type field struct {
	name     string // key in the file
	index    int
	required bool
}

// fieldsOf returns the fields of t that have a json name.
func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, field{name: name, index: i, required: f.Tag.Get("file") == "required"})
	}
	return fields
}

func fieldNames(t reflect.Type) string {
	fields := fieldsOf(t)
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
