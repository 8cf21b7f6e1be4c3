// Package yamlfile reads YAML files strictly into structs. It reports all problems of a file at once, each with its
// line and key, so that a file can be corrected in one pass.
//
// The tag yaml names a struct's fields; fields without it are not read. A field that the file does not contain keeps
// its value, so defaults are set before reading. Durations are written with their unit (250ms, 1.5s); sizes may have
// one (64KiB). Anchors, aliases, merge keys and tags are rejected, so that every value is written out where it applies.
package yamlfile

import (
	"cmp"
	"encoding"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits on the input.
const (
	MaxFile     = 4 << 20 // bytes of a file
	maxDepth    = 40      // levels of nesting
	maxProblems = 100     // problems reported for one file
)

// Problem is an error in a file.
type Problem struct {
	File string
	Line int    // counted from 1; 0 if unknown
	Key  string // path of keys, for example gossip.seeds[2]; empty for the whole file
	What string // description of the problem
}

// Error returns the problem as FILE:LINE: KEY: WHAT.
func (p Problem) Error() string {
	s := p.File
	if p.Line > 0 {
		s += ":" + strconv.Itoa(p.Line)
	}
	if p.Key != "" {
		s += ": " + p.Key
	}
	return s + ": " + p.What
}

// Problems holds all problems of a file, in the order of lines.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Defaulter is implemented by a struct that is an element of a list or map, or the target of a pointer, and has
// defaults other than zero. SetDefaults is called before its fields are read.
type Defaulter interface{ SetDefaults() }

// File is a file that has been read. It keeps the line of each key, so that later checks can report problems with their
// lines.
type File struct {
	name     string
	keyLines map[string]int // by path of keys; "" is the whole file
	problems Problems
}

// Load reads the file at path into the struct that target points to. If the error is not of type Problems, the file
// could not be opened or read.
func Load(path string, target any) (*File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return nil, err
	} else if info.Size() > MaxFile {
		return nil, Problems{{File: path,
			What: fmt.Sprintf("is %d bytes long; at most %d bytes are allowed", info.Size(), MaxFile)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := Read(path, text, target)
	return file, file.Err()
}

// Read reads text into the struct that target points to. Problems are reported under the given file name.
func Read(name string, text []byte, target any) *File {
	f := &File{name: name, keyLines: map[string]int{}}
	if len(text) > MaxFile {
		f.add(0, "", "is %d bytes long; at most %d bytes are allowed", len(text), MaxFile)
		return f
	}
	parsed, err := parse(text)
	var syntaxError interface {
		GetToken() *token.Token
		GetMessage() string
	}
	switch {
	case errors.As(err, &syntaxError) && syntaxError.GetToken() != nil && syntaxError.GetToken().Position != nil:
		f.add(syntaxError.GetToken().Position.Line, "", "invalid YAML: %s", syntaxError.GetMessage())
		return f
	case err != nil:
		f.add(0, "", "invalid YAML: %v", err)
		return f
	}
	for i, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		} else if i > 0 &&
			slices.ContainsFunc(parsed.Docs[:i], func(d *ast.DocumentNode) bool { return d.Body != nil }) {
			f.add(lineOf(doc.Body), "", "found a second document; expected one document")
			break
		}
		f.readValue("", doc.Body, reflect.ValueOf(target).Elem(), 0)
	}
	return f
}

// parse parses text. It recovers from panics of the library, because the text is untrusted input.
func parse(text []byte) (f *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be parsed: %v", p)
		}
	}()
	return parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
}

// AddProblem adds a problem that a check after reading found with the value of a key. The problem gets the line that
// Line returns for the key.
func (f *File) AddProblem(key, format string, args ...any) {
	f.add(f.Line(key), key, format, args...)
}

// Line returns the line of a key, or of its nearest enclosing key that the file contains; 0 if there is none.
func (f *File) Line(key string) int {
	for path := key; ; {
		if l, ok := f.keyLines[path]; ok {
			return l
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return f.keyLines[""]
		}
		path = path[:i]
	}
}

// Has reports whether the file contains a key.
func (f *File) Has(key string) bool {
	_, ok := f.keyLines[key]
	return ok
}

// Err returns the problems found so far, as Problems sorted by line, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return f.problems
}

// add adds a problem, up to maxProblems of them.
func (f *File) add(line int, key, format string, args ...any) {
	if len(f.problems) < maxProblems {
		f.problems = append(f.problems, Problem{f.name, line, key, fmt.Sprintf(format, args...)})
	}
}

// lineOf returns the line of a node, for a mapping that of its first key; 0 if unknown.
func lineOf(n ast.Node) int {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		n = m.Values[0].Key
	} else if v, ok := n.(*ast.MappingValueNode); ok {
		n = v.Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

// joinKey returns the path of the key called name in the mapping at key.
func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// Raw is a part of a file that is read later, once the value to read it into is known.
type Raw struct {
	file *File
	key  string
	node ast.Node
}

// IsSet reports whether the file contains the part.
func (r *Raw) IsSet() bool { return r.node != nil }

// ReadInto reads the part into the value that target points to. Fields that the part does not contain keep their
// values. Problems are added to those of the file.
func (r *Raw) ReadInto(target any) {
	if r.node != nil {
		r.file.readValue(r.key, r.node, reflect.ValueOf(target).Elem(), 0)
	}
}

// Key returns the path of the part in the file.
func (r *Raw) Key() string { return r.key }

var (
	rawType             = reflect.TypeFor[Raw]()
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// readValue reads a node into v.
func (f *File) readValue(key string, n ast.Node, v reflect.Value, depth int) {
	if _, ok := f.keyLines[key]; !ok {
		f.keyLines[key] = lineOf(n)
	}
	if depth > maxDepth {
		f.add(lineOf(n), key, "nested more than %d levels deep", maxDepth)
		return
	}
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		f.add(lineOf(n), key, "anchors, aliases, merge keys and tags are not supported; write the value out")
		return
	case *ast.NullNode:
		f.add(lineOf(n), key, "has no value; leave the key out to keep the default")
		return
	}
	switch {
	case v.Type() == rawType:
		v.Set(reflect.ValueOf(Raw{f, key, n}))
	case v.Type() == durationType:
		f.readDuration(key, n, v)
	case reflect.PointerTo(v.Type()).Implements(textUnmarshalerType):
		if s, ok := f.scalarText(key, n, "a string"); ok {
			if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s)); err != nil {
				f.add(lineOf(n), key, "%v", err)
			}
		}
	default:
		f.readByKind(key, n, v, depth)
	}
}

// readByKind reads a node into v, whose type gets no special treatment, according to the kind of the type.
func (f *File) readByKind(key string, n ast.Node, v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Pointer:
		inner := reflect.New(v.Type().Elem())
		if !v.IsNil() {
			inner.Elem().Set(v.Elem())
		} else if d, ok := inner.Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		f.readValue(key, n, inner.Elem(), depth+1)
		v.Set(inner)
	case reflect.Struct:
		f.readStruct(key, n, v, depth)
	case reflect.Slice:
		f.readList(key, n, v, depth)
	case reflect.Map:
		f.readMap(key, n, v, depth)
	case reflect.String:
		if s, ok := f.scalarText(key, n, "a string"); ok {
			v.SetString(s)
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
		} else {
			f.add(lineOf(n), key, "must be true or false, not %s", describe(n))
		}
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int16, reflect.Int8:
		if i, ok := wholeNumber(n); !ok {
			f.add(lineOf(n), key, "must be a whole number, not %s", describe(n))
		} else if v.OverflowInt(i) {
			f.add(lineOf(n), key, "%d is out of range", i)
		} else {
			v.SetInt(i)
		}
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint16, reflect.Uint8:
		if i, ok := wholeNumber(n); !ok || i < 0 {
			f.add(lineOf(n), key, "must be a whole number of 0 or more, not %s", describe(n))
		} else if v.OverflowUint(uint64(i)) {
			f.add(lineOf(n), key, "%d is out of range", i)
		} else {
			v.SetUint(uint64(i))
		}
	case reflect.Float64:
		if x, ok := finiteNumber(n); ok {
			v.SetFloat(x)
		} else {
			f.add(lineOf(n), key, "must be a number, not %s", describe(n))
		}
	default:
		panic("yamlfile: " + key + ": unsupported type " + v.Type().String())
	}
}

// Fields returns the names of a struct's fields in a file, in order, and the index of each field for
// reflect.Value.FieldByIndex. Fields of embedded structs are included.
func Fields(t reflect.Type) (names []string, index map[string][]int) {
	index = map[string][]int{}
	for _, field := range reflect.VisibleFields(t) {
		if name := field.Tag.Get("yaml"); name != "" && name != "-" {
			names = append(names, name)
			index[name] = field.Index
		}
	}
	return names, index
}

func (f *File) readStruct(key string, n ast.Node, v reflect.Value, depth int) {
	names, index := Fields(v.Type())
	f.eachPair(key, n, func(name string, line int, value ast.Node) {
		i, ok := index[name]
		if !ok {
			f.add(line, joinKey(key, name), "unknown key%s", suggestion(name, names))
			return
		}
		f.keyLines[joinKey(key, name)] = line
		f.readValue(joinKey(key, name), value, v.FieldByIndex(i), depth+1)
	})
}

func (f *File) readMap(key string, n ast.Node, v reflect.Value, depth int) {
	entries := reflect.MakeMap(v.Type())
	f.eachPair(key, n, func(name string, line int, value ast.Node) {
		inner := reflect.New(v.Type().Elem())
		if d, ok := inner.Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		f.keyLines[joinKey(key, name)] = line
		f.readValue(joinKey(key, name), value, inner.Elem(), depth+1)
		entries.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), inner.Elem())
	})
	v.Set(entries)
}

// eachPair calls handle for the keys of a mapping, in order.
func (f *File) eachPair(key string, n ast.Node, handle func(name string, line int, value ast.Node)) {
	var pairs []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{m}
	default:
		f.add(lineOf(n), key, "must be a mapping, not %s", describe(n))
		return
	}
	seen := map[string]int{}
	for _, p := range pairs {
		name, ok := keyName(p.Key)
		line := lineOf(p.Key)
		switch first := seen[name]; {
		case !ok:
			f.add(line, key, "a key must be a plain scalar")
		case first > 0:
			f.add(line, joinKey(key, name), "duplicate key; first defined at line %d", first)
		default:
			seen[name] = line
			handle(name, line, p.Value)
		}
	}
}

// keyName returns the text of a key, and whether the key is a plain scalar.
func keyName(n ast.MapKeyNode) (string, bool) {
	switch k := n.(type) {
	case *ast.StringNode:
		return k.Value, true
	case *ast.IntegerNode, *ast.BoolNode, *ast.FloatNode:
		return k.GetToken().Value, true
	}
	return "", false
}

func (f *File) readList(key string, n ast.Node, v reflect.Value, depth int) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		f.add(lineOf(n), key, "must be a list, not %s", describe(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, entry := range s.Values {
		if d, ok := list.Index(i).Addr().Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		f.readValue(fmt.Sprintf("%s[%d]", key, i), entry, list.Index(i), depth+1)
	}
	v.Set(list)
}

// scalarText returns the text of a scalar that the library parsed as a string or a number. For any other node it adds a
// problem that says what was expected.
func (f *File) scalarText(key string, n ast.Node, expected string) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value, true
	}
	f.add(lineOf(n), key, "must be %s, not %s", expected, describe(n))
	return "", false
}

func (f *File) readDuration(key string, n ast.Node, v reflect.Value) {
	s, ok := f.scalarText(key, n, "a duration such as 250ms")
	if !ok {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		f.add(lineOf(n), key, "expected a duration with its unit, such as 250ms, 1.5s or 2m, found %q", s)
		return
	}
	v.SetInt(int64(d))
}

// wholeNumber returns the value of an integer node; false for other nodes and for integers that overflow int64.
func wholeNumber(n ast.Node) (int64, bool) {
	if i, ok := n.(*ast.IntegerNode); ok {
		switch x := i.Value.(type) {
		case int64:
			return x, true
		case uint64:
			return int64(x), x <= math.MaxInt64
		}
	}
	return 0, false
}

// finiteNumber returns the value of an integer or float node; false for other nodes, NaN and infinities.
func finiteNumber(n ast.Node) (float64, bool) {
	if x, ok := n.(*ast.FloatNode); ok {
		return x.Value, !math.IsNaN(x.Value) && !math.IsInf(x.Value, 0)
	}
	i, ok := wholeNumber(n)
	return float64(i), ok
}

// describe returns the kind of a node, or the start of its text if it is a scalar, for the text of a problem.
func describe(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	}
	text := n.GetToken().Value
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return strconv.Quote(text)
}

// suggestion returns the end of the problem about an unknown key. It names the most similar known key, or all known
// keys if none is similar.
func suggestion(name string, known []string) string {
	closest, minDistance := "", len(name)/2+1
	for _, k := range known {
		if d := editDistance(name, k); d < minDistance {
			closest, minDistance = k, d
		}
	}
	if closest == "" {
		return "; expected one of " + strings.Join(known, ", ")
	}
	return "; did you mean " + closest + "?"
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(row[j+1]+1, row[j]+1, cost)
		}
	}
	return row[len(b)]
}

// Size is a number of bytes. It is written with or without a unit: 1200, 64KiB, 8MB.
type Size int64

// UnmarshalText parses a size.
func (s *Size) UnmarshalText(text []byte) error {
	t := strings.TrimSpace(string(text))
	digits := strings.TrimRight(t, "KMGiB ")
	unit, ok := map[string]float64{"": 1, "B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20,
		"GiB": 1 << 30}[strings.TrimSpace(t[len(digits):])]
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !ok || n < 0 || n*unit > 1<<50 {
		return fmt.Errorf("expected a size such as 1200, 64KiB or 8MB, found %q", t)
	}
	*s = Size(n * unit)
	return nil
}
