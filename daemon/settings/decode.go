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

// FileError lists every fault of a settings file.
type FileError struct {
	File   string
	Faults []api.FieldError
}

// Error returns one line per fault, each with the file and the JSON path.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = e.File + ": " + fault.Error()
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

// Role returns the role that the file is for.
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

// Load reads and checks a settings file and fills in defaults. A faulty file
// gives a *FileError.
func Load(path string) (File, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return File{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse is Load on bytes; name stands for the file in errors.
func Parse(name string, data []byte) (File, error) {
	var file File
	role, fault := findRole(data)
	if fault != nil {
		return file, &FileError{File: name, Faults: []api.FieldError{*fault}}
	}
	var faults []api.FieldError
	switch role {
	case RoleEntry:
		file.Entry = &Entry{}
		faults = parse(data, file.Entry)
	case RoleRouter:
		file.Router = &Router{}
		faults = parse(data, file.Router)
	case RoleLoader:
		file.Loader = &Loader{}
		faults = parse(data, file.Loader)
	case RoleAgent:
		file.Agent = &Agent{}
		faults = parse(data, file.Agent)
	}
	if len(faults) > 0 {
		return File{}, &FileError{File: name, Faults: faults}
	}
	return file, nil
}

// roleSettings is what the settings of every role have.
type roleSettings interface {
	Check() []api.FieldError
	SetDefaults()
}

// parse reads one role's settings, and fills in defaults where they are good.
func parse(data []byte, target roleSettings) []api.FieldError {
	if faults := decode(data, target); len(faults) > 0 {
		return faults
	}
	faults := target.Check()
	target.SetDefaults()
	return faults
}

// findRole reads only the role, because it decides the shape of the rest.
func findRole(data []byte) (Role, *api.FieldError) {
	var head struct {
		Role any `json:"role"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return "", &api.FieldError{Path: "$", Problem: "not a JSON object: " + err.Error(), Hint: "start from 'wheelcleat settings example entry'"}
	}
	switch head.Role {
	case string(RoleEntry), string(RoleAgent), string(RoleRouter), string(RoleLoader):
		return Role(fmt.Sprint(head.Role)), nil
	case nil:
		return "", &api.FieldError{Path: "role", Problem: "missing", Hint: roleHint}
	default:
		return "", &api.FieldError{Path: "role", Problem: fmt.Sprintf("unknown role %v", head.Role), Hint: roleHint}
	}
}

const roleHint = `use "entry", "agent", "router" or "loader"`

// decode reads data into target and returns a fault for each value that does
// not fit, with its path.
func decode(data []byte, target any) []api.FieldError {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return []api.FieldError{{Path: "$", Problem: "not JSON: " + err.Error()}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return []api.FieldError{{Path: "$", Problem: "more than one JSON value", Hint: "a settings file holds one object"}}
	}
	w := &walker{}
	w.walk("", document, reflect.TypeOf(target).Elem())
	if len(w.faults) > 0 {
		return w.faults
	}
	if err := json.Unmarshal(data, target); err != nil {
		return []api.FieldError{{Path: "$", Problem: err.Error()}}
	}
	return nil
}

// walker compares a decoded document with a Go type.
type walker struct{ faults []api.FieldError }

var (
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonType = reflect.TypeFor[json.Unmarshaler]()
)

func (w *walker) add(path, problem, hint string) {
	w.faults = append(w.faults, api.FieldError{Path: path, Problem: problem, Hint: hint})
}

func (w *walker) walk(path string, value any, want reflect.Type) {
	pointer := reflect.PointerTo(want)
	if pointer.Implements(textType) || pointer.Implements(jsonType) {
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
		at := strings.TrimPrefix(path+"."+name, ".")
		fieldType, ok := known[name]
		if !ok {
			w.add(at, "unknown field", "known here: "+knownNames(known))
			continue
		}
		w.walk(at, fields[name], fieldType)
	}
}

// leaf decodes one value by itself, so that its error has its path.
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
		hint = `an IP number and a port, such as "10.0.0.7:7002"`
	case want.Kind() == reflect.Int || want.Kind() == reflect.Int64 && want != reflect.TypeFor[api.Duration]():
		hint = "a whole number without a unit"
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
