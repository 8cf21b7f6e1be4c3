// Package yamlfile reads YAML files strictly into structs. It tells all that is wrong with a file at once, each with its
// line and key, since who mends a file by hand wants to mend it once.
//
// A struct's fields are named by the tag yaml; fields without one are not read. What the file does not name keeps the
// value that it had, so defaults are set before. Times are written with their unit (250ms, 1.5s), sizes too (64KiB).
// Anchors, aliases, merges and tags are refused: a file of settings is to say what it means where it stands.
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

// Bounds on what is read.
const (
	MaxFile  = 4 << 20 // bytes
	maxDepth = 40
	maxTold  = 100 // problems of one file
)

// Problem is one thing wrong with a file. Line counts from 1; 0 where no place can be told.
type Problem struct {
	File string
	Line int
	Key  string // the path of keys, as in gossip.seeds[2]; empty for the whole file
	What string
}

// Error gives the problem as FILE:LINE: KEY: WHAT.
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

// Problems is all that is wrong with a file, in the order of lines.
type Problems []Problem

// Error gives one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Defaulter is what a struct implements that stands in a list or under a freely chosen key and has defaults other than
// zero. SetDefaults is called before its fields are read.
type Defaulter interface{ SetDefaults() }

// File is a file that has been read. It knows where each key stands, so that what is found wrong later can say so.
type File struct {
	name     string
	lines    map[string]int
	problems Problems
}

// Load reads the file at path into the struct that into points at. An error that is no Problems says that the file could
// not be read at all.
func Load(path string, into any) (*File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return nil, err
	} else if info.Size() > MaxFile {
		return nil, Problems{{File: path, What: fmt.Sprintf("%d bytes are more than %d", info.Size(), MaxFile)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := Read(path, text, into)
	return file, file.Err()
}

// Read reads text; name stands for it in problems.
func Read(name string, text []byte, into any) *File {
	f := &File{name: name, lines: map[string]int{}}
	if len(text) > MaxFile {
		f.tell(0, "", "%d bytes are more than %d", len(text), MaxFile)
		return f
	}
	parsed, err := parse(text)
	var placed interface {
		GetToken() *token.Token
		GetMessage() string
	}
	switch {
	case errors.As(err, &placed) && placed.GetToken() != nil && placed.GetToken().Position != nil:
		f.tell(placed.GetToken().Position.Line, "", "no YAML: %s", placed.GetMessage())
		return f
	case err != nil:
		f.tell(0, "", "no YAML: %v", err)
		return f
	}
	for i, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		} else if i > 0 && slices.ContainsFunc(parsed.Docs[:i], func(d *ast.DocumentNode) bool { return d.Body != nil }) {
			f.tell(line(doc.Body), "", "a second document; one file is one document")
			break
		}
		f.value("", doc.Body, reflect.ValueOf(into).Elem(), 0)
	}
	return f
}

// parse keeps a defect of the library from ending the program: settings come from outside.
func parse(text []byte) (f *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be parsed: %v", p)
		}
	}()
	return parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
}

// Wrong adds a problem with the value of a key, for what is checked after reading. A key that the file does not name is
// told at the line of the nearest one around it.
func (f *File) Wrong(key, format string, args ...any) {
	f.tell(f.Line(key), key, format, args...)
}

// Line is the line at which a key stands, or the nearest one around it that the file names; 0 if none.
func (f *File) Line(key string) int {
	for at := key; ; {
		if l, ok := f.lines[at]; ok {
			return l
		}
		i := strings.LastIndexAny(at, ".[")
		if i < 0 {
			return f.lines[""]
		}
		at = at[:i]
	}
}

// Names tells whether the file names a key.
func (f *File) Names(key string) bool {
	_, ok := f.lines[key]
	return ok
}

// Err is all that was found wrong so far as Problems, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return f.problems
}

func (f *File) tell(line int, key, format string, args ...any) {
	if len(f.problems) < maxTold {
		f.problems = append(f.problems, Problem{f.name, line, key, fmt.Sprintf(format, args...)})
	}
}

func line(n ast.Node) int {
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

func under(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// Raw is a part of a file that is read later, into what only becomes known then.
type Raw struct {
	f    *File
	key  string
	node ast.Node
}

// Given tells whether the file had anything there.
func (r *Raw) Given() bool { return r.node != nil }

// Into reads the part into what into points at, over what stands there already. Problems go to the file's.
func (r *Raw) Into(into any) {
	if r.node != nil {
		r.f.value(r.key, r.node, reflect.ValueOf(into).Elem(), 0)
	}
}

// Key is where the part stands.
func (r *Raw) Key() string { return r.key }

var (
	rawType      = reflect.TypeFor[Raw]()
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// value reads one node into v.
func (f *File) value(key string, n ast.Node, v reflect.Value, depth int) {
	if _, ok := f.lines[key]; !ok {
		f.lines[key] = line(n)
	}
	if depth > maxDepth {
		f.tell(line(n), key, "nested more than %d deep", maxDepth)
		return
	}
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		f.tell(line(n), key, "anchors, aliases, merges and tags are not read here; write the value out")
		return
	case *ast.NullNode:
		f.tell(line(n), key, "has no value; leave the key out to keep the default")
		return
	}
	switch {
	case v.Type() == rawType:
		v.Set(reflect.ValueOf(Raw{f, key, n}))
	case v.Type() == durationType:
		f.duration(key, n, v)
	case reflect.PointerTo(v.Type()).Implements(textType):
		if s, ok := f.scalar(key, n, "a text"); ok {
			if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(s)); err != nil {
				f.tell(line(n), key, "%v", err)
			}
		}
	default:
		f.kind(key, n, v, depth)
	}
}

func (f *File) kind(key string, n ast.Node, v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Pointer:
		inner := reflect.New(v.Type().Elem())
		if !v.IsNil() {
			inner.Elem().Set(v.Elem())
		} else if d, ok := inner.Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		f.value(key, n, inner.Elem(), depth+1)
		v.Set(inner)
	case reflect.Struct:
		f.structure(key, n, v, depth)
	case reflect.Slice:
		f.list(key, n, v, depth)
	case reflect.Map:
		f.mapping(key, n, v, depth)
	case reflect.String:
		if s, ok := f.scalar(key, n, "a text"); ok {
			v.SetString(s)
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
		} else {
			f.tell(line(n), key, "must be true or false, not %s", what(n))
		}
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int16, reflect.Int8:
		if i, ok := whole(n); !ok {
			f.tell(line(n), key, "must be a whole number, not %s", what(n))
		} else if v.OverflowInt(i) {
			f.tell(line(n), key, "%d is out of range", i)
		} else {
			v.SetInt(i)
		}
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint16, reflect.Uint8:
		if i, ok := whole(n); !ok || i < 0 {
			f.tell(line(n), key, "must be a whole number of 0 or more, not %s", what(n))
		} else if v.OverflowUint(uint64(i)) {
			f.tell(line(n), key, "%d is out of range", i)
		} else {
			v.SetUint(uint64(i))
		}
	case reflect.Float64:
		if x, ok := number(n); ok {
			v.SetFloat(x)
		} else {
			f.tell(line(n), key, "must be a number, not %s", what(n))
		}
	default:
		panic("yamlfile: " + key + " has a type that cannot be read: " + v.Type().String())
	}
}

// Fields gives the names by which a struct's fields stand in a file, in order; fields of embedded structs are among them.
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

func (f *File) structure(key string, n ast.Node, v reflect.Value, depth int) {
	names, index := Fields(v.Type())
	f.pairs(key, n, func(name string, at int, value ast.Node) {
		i, ok := index[name]
		if !ok {
			f.tell(at, under(key, name), "unknown key%s", near(name, names))
			return
		}
		f.lines[under(key, name)] = at
		f.value(under(key, name), value, v.FieldByIndex(i), depth+1)
	})
}

func (f *File) mapping(key string, n ast.Node, v reflect.Value, depth int) {
	all := reflect.MakeMap(v.Type())
	f.pairs(key, n, func(name string, at int, value ast.Node) {
		inner := reflect.New(v.Type().Elem())
		if d, ok := inner.Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		f.lines[under(key, name)] = at
		f.value(under(key, name), value, inner.Elem(), depth+1)
		all.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), inner.Elem())
	})
	v.Set(all)
}

// pairs calls each for the keys of a mapping, in order.
func (f *File) pairs(key string, n ast.Node, each func(name string, at int, value ast.Node)) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		f.tell(line(n), key, "must be keys with values, not %s", what(n))
		return
	}
	seen := map[string]int{}
	for _, p := range values {
		name, ok := keyName(p.Key)
		at := line(p.Key)
		switch first := seen[name]; {
		case !ok:
			f.tell(at, key, "a key must be a plain word")
		case first > 0:
			f.tell(at, under(key, name), "stands here a second time; first at line %d", first)
		default:
			seen[name] = at
			each(name, at, p.Value)
		}
	}
}

func keyName(n ast.MapKeyNode) (string, bool) {
	switch k := n.(type) {
	case *ast.StringNode:
		return k.Value, true
	case *ast.IntegerNode, *ast.BoolNode, *ast.FloatNode:
		return k.GetToken().Value, true
	}
	return "", false
}

func (f *File) list(key string, n ast.Node, v reflect.Value, depth int) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		f.tell(line(n), key, "must be a list, not %s", what(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, entry := range s.Values {
		if d, ok := list.Index(i).Addr().Interface().(Defaulter); ok {
			d.SetDefaults()
		}
		f.value(fmt.Sprintf("%s[%d]", key, i), entry, list.Index(i), depth+1)
	}
	v.Set(list)
}

// scalar is the text of a plain value, however the library took it.
func (f *File) scalar(key string, n ast.Node, wanted string) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value, true
	}
	f.tell(line(n), key, "must be %s, not %s", wanted, what(n))
	return "", false
}

func (f *File) duration(key string, n ast.Node, v reflect.Value) {
	s, ok := f.scalar(key, n, "a time such as 250ms")
	if !ok {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		f.tell(line(n), key, "%q is no time; write it with its unit, as in 250ms, 1.5s or 2m", s)
		return
	}
	v.SetInt(int64(d))
}

func whole(n ast.Node) (int64, bool) {
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

func number(n ast.Node) (float64, bool) {
	if x, ok := n.(*ast.FloatNode); ok {
		return x.Value, !math.IsNaN(x.Value) && !math.IsInf(x.Value, 0)
	}
	i, ok := whole(n)
	return float64(i), ok
}

// what describes a node for who wrote it.
func what(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "keys with values"
	case *ast.SequenceNode:
		return "a list"
	}
	text := n.GetToken().Value
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return strconv.Quote(text)
}

// near names the known key that an unknown one may have been meant to be.
func near(name string, known []string) string {
	best, least := "", len(name)/2+1
	for _, k := range known {
		if d := distance(name, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return "; known are " + strings.Join(known, ", ")
	}
	return "; is " + best + " meant?"
}

// distance counts the letters to add, drop or change between two words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(row[j+1]+1, row[j]+1, cost)
		}
	}
	return row[len(b)]
}

// Size is a number of bytes, written with or without a unit: 1200, 64KiB, 8MB.
type Size int64

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(text []byte) error {
	t := strings.TrimSpace(string(text))
	digits := strings.TrimRight(t, "KMGiB ")
	unit, ok := map[string]float64{"": 1, "B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20,
		"GiB": 1 << 30}[strings.TrimSpace(t[len(digits):])]
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || !ok || n < 0 || n*unit > 1<<50 {
		return fmt.Errorf("%q is no size; write it as in 1200, 64KiB or 8MB", t)
	}
	*s = Size(n * unit)
	return nil
}
