package steering

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// fieldChanges returns the values that differ between two structs of the same type.
func fieldChanges(from, to any) []FieldChange {
	var changes []FieldChange
	compareValues(reflect.ValueOf(from).Elem(), reflect.ValueOf(to).Elem(), "", &changes)
	return changes
}

func compareValues(from, to reflect.Value, path string, changes *[]FieldChange) {
	switch {
	case !from.IsValid() || !to.IsValid():
		addChange(from, to, path, changes)
	case from.Kind() == reflect.Struct && len(fieldsOf(from.Type())) > 0:
		for _, f := range fieldsOf(from.Type()) {
			compareValues(from.Field(f.index), to.Field(f.index), join(path, f.name), changes)
		}
	case from.Kind() == reflect.Slice:
		compareSlices(from, to, path, changes)
	default:
		addChange(from, to, path, changes)
	}
}

// compareSlices matches elements by name if they have one, else by index.
func compareSlices(from, to reflect.Value, path string, changes *[]FieldChange) {
	before, after := elementNames(from), elementNames(to)
	for i, name := range before {
		compareValues(from.Index(i), elementByName(to, after, name), fmt.Sprintf("%s[%s]", path, name), changes)
	}
	for i, name := range after {
		if !elementByName(from, before, name).IsValid() {
			compareValues(reflect.Value{}, to.Index(i), fmt.Sprintf("%s[%s]", path, name), changes)
		}
	}
}

func elementByName(slice reflect.Value, names []string, name string) reflect.Value {
	for i := range names {
		if names[i] == name {
			return slice.Index(i)
		}
	}
	return reflect.Value{}
}

// elementNames returns a unique name for each element of a slice.
func elementNames(slice reflect.Value) []string {
	names := make([]string, slice.Len())
	for i := range names {
		switch e := slice.Index(i).Interface().(type) {
		case Region:
			names[i] = string(e.Name)
		case Team:
			names[i] = string(e.Name)
		case Operation:
			names[i] = string(e.Name)
		case RegionWeight:
			names[i] = string(e.Region)
		case Link:
			names[i] = string(e.From + " to " + e.To)
		default:
			names[i] = fmt.Sprint(i)
		}
	}
	return names
}

func addChange(from, to reflect.Value, path string, changes *[]FieldChange) {
	before, after := valueText(from), valueText(to)
	if before != after {
		*changes = append(*changes, FieldChange{Path: path, From: before, To: after})
	}
}

func valueText(v reflect.Value) string {
	if !v.IsValid() {
		return ""
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return strings.Trim(string(text), `"`)
}
