package object

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// File is a named YAML text with any number of documents, one object each.
type File struct {
	Name string
	Data []byte
}

// Join concatenates the files into the single text that is published.
func Join(files []File) []byte {
	var out bytes.Buffer
	for i, f := range files {
		if i > 0 {
			out.WriteString("---\n")
		}
		out.Write(f.Data)
		if len(f.Data) > 0 && f.Data[len(f.Data)-1] != '\n' {
			out.WriteByte('\n')
		}
	}
	return out.Bytes()
}

// Parse decodes the files and checks their objects as one set. The error is of
// type Errors and lists every error found.
func Parse(files ...File) (*Set, error) {
	p := &parser{set: newSet(), positions: map[objectRef]position{}}
	for _, f := range files {
		p.parseFile(f)
	}
	p.checkReferences()
	if len(p.errs) > 0 {
		return nil, p.errs.sortByPosition(files)
	}
	p.set.indexRoutes()
	return p.set, nil
}

// objectRef identifies an object.
type objectRef struct{ kind, name string }

// position is the place where an object and its keys are defined.
type position struct {
	file     string
	line     int
	keyLines map[string]int
}

// keyLine returns the line of a key, or that of the object if it lacks the key.
func (p position) keyLine(key string) int {
	if line, ok := p.keyLines[key]; ok {
		return line
	}
	return p.line
}

type parser struct {
	set       *Set
	positions map[objectRef]position
	errs      Errors
}

func (p *parser) addError(file string, line int, format string, args ...any) {
	p.errs = append(p.errs, Error{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

func (p *parser) parseFile(f File) {
	dec := yaml.NewDecoder(bytes.NewReader(f.Data))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			line, text := syntaxError(err)
			p.addError(f.Name, line, "%s", text)
			return
		}
		for _, n := range doc.Content {
			p.parseDocument(f.Name, n)
		}
	}
}

var linePattern = regexp.MustCompile(`^line (\d+): `)

// syntaxError extracts the line number from a YAML error and returns it with the
// remaining text. The line is 1 if the error has none.
func syntaxError(err error) (int, string) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if m := linePattern.FindStringSubmatch(text); m != nil {
		line, _ := strconv.Atoi(m[1])
		return line, "not valid YAML: " + text[len(m[0]):]
	}
	return 1, "not valid YAML: " + text
}

// parseDocument decodes one object and adds it to the set.
func (p *parser) parseDocument(file string, n *yaml.Node) {
	if n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		p.addError(file, n.Line, "an object must be a mapping with kind and name")
		return
	}
	values, lines := p.mappingValues(file, n)
	kind, ok := p.parseKind(file, n, values)
	if !ok {
		return
	}
	o := newObjectDecoder(kind)
	before := len(p.errs)
	keys := []string{"kind"}
	for _, f := range o.fields {
		keys = append(keys, f.key)
		value, ok := values[f.key]
		if !ok {
			if f.required {
				p.addError(file, n.Line, "%s: key %q is missing", kind, f.key)
			}
			continue
		}
		delete(values, f.key)
		if err := f.set(value); err != nil {
			p.addError(file, value.Line, "%s %s: %s: %v", kind, o.name(), f.key, err)
		}
	}
	for key := range values {
		p.addError(file, lines[key], "%s %s: unknown key %q%s", kind, o.name(), key, suggest(key, keys))
	}
	// The check runs only if all fields are valid; otherwise it could report an
	// error that follows from one already reported.
	if o.check != nil && len(p.errs) == before {
		if err := o.check(); err != nil {
			p.addError(file, n.Line, "%s %s: %v", kind, o.name(), err)
		}
	}
	if o.name() == "" {
		return
	}
	r := objectRef{kind, o.name()}
	if first, ok := p.positions[r]; ok {
		p.addError(file, n.Line, "%s %s: already defined at %s:%d", kind, r.name, first.file, first.line)
		return
	}
	p.positions[r] = position{file: file, line: n.Line, keyLines: lines}
	o.store(p.set)
}

// mappingValues returns the values and line numbers of a mapping by key.
func (p *parser) mappingValues(file string, n *yaml.Node) (map[string]*yaml.Node, map[string]int) {
	values, lines := map[string]*yaml.Node{}, map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode {
			p.addError(file, key.Line, "a key must be a single word")
			continue
		}
		if _, ok := values[key.Value]; ok {
			p.addError(file, key.Line, "key %q is given twice", key.Value)
			continue
		}
		values[key.Value], lines[key.Value] = n.Content[i+1], key.Line
	}
	return values, lines
}

// parseKind removes the key kind from values and returns its value if it is valid.
func (p *parser) parseKind(file string, n *yaml.Node, values map[string]*yaml.Node) (string, bool) {
	value, ok := values["kind"]
	if !ok {
		p.addError(file, n.Line, "key \"kind\" is missing")
		return "", false
	}
	delete(values, "kind")
	kind, err := scalar(value)
	if err != nil {
		p.addError(file, value.Line, "kind: %v", err)
		return "", false
	}
	if newObjectDecoder(kind) == nil {
		p.addError(file, value.Line, "unknown kind %q%s", kind, suggest(kind, kinds))
		return "", false
	}
	return kind, true
}

// The kinds of objects.
const (
	KindService = "service"
	KindPool    = "pool"
	KindLimit   = "limit"
	KindRoute   = "route"
	KindTeam    = "team"

	KindEvacuation = "evacuation"
)

var kinds = []string{KindService, KindPool, KindLimit, KindRoute, KindTeam, KindEvacuation}

// objectDecoder decodes one object.
type objectDecoder struct {
	fields []field
	name   func() string
	// check, if set, validates the fields together and completes the object.
	check func() error
	// store adds the object to the set.
	store func(s *Set)
}

const (
	// maxPayloadBytes is below wire.MaxFrameBytes to leave room for the rest of a frame.
	maxPayloadBytes = 32 << 20
	maxRunTime      = 10 * time.Minute
	maxCount        = 1_000_000_000
	maxRate         = 1e9
)

// newObjectDecoder returns a decoder for an object that starts with the defaults of
// the kind, or nil if the kind is unknown.
func newObjectDecoder(kind string) *objectDecoder {
	switch kind {
	case KindService:
		o := defaultService("")
		return &objectDecoder{
			fields: []field{
				nameField("name", true, &o.Name),
				nameField("pool", false, &o.Pool),
				durationField("run-time", &o.RunTime, time.Millisecond, maxRunTime),
				bytesField("max-payload-bytes", &o.MaxPayloadBytes, 1, maxPayloadBytes),
			},
			name:  func() string { return o.Name },
			store: func(s *Set) { s.services[o.Name] = o },
		}
	case KindPool:
		o := defaultPool("")
		return &objectDecoder{
			fields: []field{
				nameField("name", true, &o.Name),
				namesField("availability-zones", &o.AvailabilityZones),
				intField("overcommit", &o.Overcommit, 0, 8),
				intField("reserve-short-percent", &o.ReserveShortPercent, 0, 90),
				intField("max-ejected-percent", &o.MaxEjectedPercent, 0, 100),
				enumField("placement", &o.Placement, PlacementPolicies()),
				enumField("queue", &o.Queue, QueuePolicies()),
			},
			name:  func() string { return o.Name },
			store: func(s *Set) { s.pools[o.Name] = o },
		}
	case KindLimit:
		var o Limit
		return &objectDecoder{
			fields: []field{
				nameField("name", true, &o.Name),
				floatField("rate", &o.Rate, 0.001, maxRate),
				intField("burst", &o.Burst, 1, maxCount),
				intField("concurrency", &o.Concurrency, 1, maxCount),
				intField("queue-length", &o.QueueLength, 1, maxCount),
				nameField("parent", false, &o.Parent),
			},
			name:  func() string { return o.Name },
			check: func() error { return completeLimit(&o) },
			store: func(s *Set) { s.limits[o.Name] = o },
		}
	case KindRoute:
		o := Route{Limits: []string{}}
		return &objectDecoder{
			fields: []field{
				nameField("name", true, &o.Name),
				nameField("service", true, &o.Service),
				nameField("team", false, &o.Team),
				nameField("pool", false, &o.Pool),
				namesField("limits", &o.Limits),
				intField("priority", &o.Priority, -1000, 1000),
			},
			name:  func() string { return o.Name },
			store: func(s *Set) { s.routes[o.Name] = o },
		}
	case KindTeam:
		o := defaultTeam("")
		return &objectDecoder{
			fields: []field{
				nameField("name", true, &o.Name),
				floatField("weight", &o.Weight, 0.001, 1000),
				namesField("limits", &o.Limits),
			},
			name:  func() string { return o.Name },
			store: func(s *Set) { s.teams[o.Name] = o },
		}
	case KindEvacuation:
		var o Evacuation
		return &objectDecoder{
			fields: []field{
				nameField("name", true, &o.Name),
				nameField("availability-zone", true, &o.AvailabilityZone),
			},
			name:  func() string { return o.Name },
			store: func(s *Set) { s.evacuations[o.Name] = o },
		}
	}
	return nil
}

// completeLimit checks the values of a limit together and sets the default of burst.
func completeLimit(o *Limit) error {
	if o.Rate == 0 && o.Concurrency == 0 && o.QueueLength == 0 {
		return errors.New("needs at least one of rate, concurrency and queue-length")
	}
	if o.Burst > 0 && o.Rate == 0 {
		return errors.New("burst needs a rate")
	}
	if o.Rate > 0 && o.Burst == 0 {
		o.Burst = int(min(math.Ceil(o.Rate), maxCount))
	}
	return nil
}
