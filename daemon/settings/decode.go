package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/wheelcleat/wheelcleat/api"
)

// FileError lists all errors in a settings file.
type FileError struct {
	File        string
	FieldErrors []api.FieldError
}

// Error returns one line per error, each with the file and the JSON path.
func (e *FileError) Error() string {
	lines := make([]string, len(e.FieldErrors))
	for i, fieldErr := range e.FieldErrors {
		lines[i] = e.File + ": " + fieldErr.Error()
	}
	return strings.Join(lines, "\n")
}

// File is a settings file of any role. Exactly one field is set.
type File struct {
	Entry  *Entry
	Agent  *Agent
	Router *Router
	Loader *Loader
}

// Role returns the role of the process that the file configures.
func (f File) Role() Role {
	switch {
	case f.Entry != nil:
		return RoleEntry
	case f.Router != nil:
		return RoleRouter
	case f.Loader != nil:
		return RoleLoader
	default:
		return RoleAgent
	}
}

// Load reads and validates a settings file and sets defaults. The error for an
// invalid file is a *FileError.
func Load(path string) (File, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse is Load for the contents of a file; name is the file name in errors.
func Parse(name string, data []byte) (File, error) {
	var file File
	role, fieldErr := parseRole(data)
	if fieldErr != nil {
		return file, &FileError{File: name, FieldErrors: []api.FieldError{*fieldErr}}
	}
	var fieldErrs []api.FieldError
	switch role {
	case RoleEntry:
		file.Entry = &Entry{}
		fieldErrs = parseSettings(data, file.Entry)
	case RoleRouter:
		file.Router = &Router{}
		fieldErrs = parseSettings(data, file.Router)
	case RoleLoader:
		file.Loader = &Loader{}
		fieldErrs = parseSettings(data, file.Loader)
	case RoleAgent:
		file.Agent = &Agent{}
		fieldErrs = parseSettings(data, file.Agent)
	}
	if len(fieldErrs) > 0 {
		return File{}, &FileError{File: name, FieldErrors: fieldErrs}
	}
	return file, nil
}

// roleSettings is implemented by the settings of all roles.
type roleSettings interface {
	Check() []api.FieldError
	SetDefaults()
}

// parseSettings decodes and validates the settings of one role and sets defaults.
func parseSettings(data []byte, target roleSettings) []api.FieldError {
	if fieldErrs := decode(data, target); len(fieldErrs) > 0 {
		return fieldErrs
	}
	fieldErrs := target.Check()
	target.SetDefaults()
	return fieldErrs
}

// parseRole decodes only the role, which determines the type of the settings.
func parseRole(data []byte) (Role, *api.FieldError) {
	var header struct {
		Role any `json:"role"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return "", &api.FieldError{Path: "$", Problem: "not a JSON object: " + err.Error(), Hint: "start from 'wheelcleat settings example entry'"}
	}
	switch header.Role {
	case string(RoleEntry), string(RoleAgent), string(RoleRouter), string(RoleLoader):
		return Role(fmt.Sprint(header.Role)), nil
	case nil:
		return "", &api.FieldError{Path: "role", Problem: "missing", Hint: roleHint}
	default:
		return "", &api.FieldError{Path: "role", Problem: fmt.Sprintf("unknown role %v", header.Role), Hint: roleHint}
	}
}

const roleHint = `use "entry", "agent", "router" or "loader"`

// decode decodes data into target. It returns an error with the path of each value
// that does not match the type of target.
func decode(data []byte, target any) []api.FieldError {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return []api.FieldError{{Path: "$", Problem: "not JSON: " + err.Error()}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return []api.FieldError{{Path: "$", Problem: "more than one JSON value", Hint: "a settings file contains a single object"}}
	}
	w := &walker{}
	w.walk("", document, reflect.TypeOf(target).Elem())
	if len(w.fieldErrs) > 0 {
		return w.fieldErrs
	}
	if err := json.Unmarshal(data, target); err != nil {
		return []api.FieldError{{Path: "$", Problem: err.Error()}}
	}
	return nil
}

// walker compares a decoded JSON document with a Go type and collects errors.
type walker struct{ fieldErrs []api.FieldError }

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

func (w *walker) add(path, problem, hint string) {
	w.fieldErrs = append(w.fieldErrs, api.FieldError{Path: path, Problem: problem, Hint: hint})
}

func (w *walker) walk(path string, value any, want reflect.Type) {
	pointer := reflect.PointerTo(want)
	if pointer.Implements(textUnmarshalerType) || pointer.Implements(jsonUnmarshalerType) {
		w.leaf(path, value, want)
		return
	}
	switch want.Kind() {
	case reflect.Struct:
		w.object(path, value, want)
	case reflect.Slice:
		items, ok := value.([]any)
		if !ok {
			w.add(path, fmt.Sprintf("%v is not a list", value), "")
			return
		}
		for i, item := range items {
			w.walk(fmt.Sprintf("%s[%d]", path, i), item, want.Elem())
		}
	default:
		w.leaf(path, value, want)
	}
}

func (w *walker) object(path string, value any, want reflect.Type) {
	fields, ok := value.(map[string]any)
	if !ok {
		w.add(path, fmt.Sprintf("%v is not an object", value), "")
		return
	}
	known := fieldTypes(want)
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		fieldType, ok := known[name]
		if !ok {
			w.add(fieldPath, "unknown field", "known fields: "+knownNames(known))
			continue
		}
		w.walk(fieldPath, fields[name], fieldType)
	}
}

// leaf decodes a single value, so that an error can be reported with its path.
func (w *walker) leaf(path string, value any, want reflect.Type) {
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, reflect.New(want).Interface())
	}
	if err == nil {
		return
	}
	hint := ""
	switch {
	case strings.Contains(want.String(), "netip"):
		hint = `an IP address and a port, such as "10.0.0.7:7002"`
	case want.Kind() == reflect.Int || want.Kind() == reflect.Int64 && want != reflect.TypeFor[api.Duration]():
		hint = "an integer without a unit"
	}
	problem := strings.TrimPrefix(err.Error(), "json: ")
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch { //nolint:errorlint // json returns it unwrapped
		problem = fmt.Sprintf("%s is not a %s", data, want.Kind())
	}
	w.add(path, problem, hint)
}

// fieldTypes returns the type of each JSON field of a struct.
func fieldTypes(want reflect.Type) map[string]reflect.Type {
	known := map[string]reflect.Type{}
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("json"), ",")
		known[name] = want.Field(i).Type
	}
	return known
}

func knownNames(known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
