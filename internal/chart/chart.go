// Package chart holds the state charts of the system. Each chart is a YAML
// file with states, final states and the transitions of each state by event.
package chart

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"
)

//go:embed *.yaml
var files embed.FS

// The charts.
var (
	Task     = mustLoad("task")
	Job      = mustLoad("job")
	Upstream = mustLoad("upstream")
	Node     = mustLoad("node")
	Shard    = mustLoad("shard")
)

// ErrRejected means that the state has no transition for the event.
var ErrRejected = errors.New("event rejected")

// Chart is a compiled state chart. It is immutable.
type Chart struct {
	name   string
	states []string
	events []string
	final  []bool
	// next is indexed by state*len(events)+event; -1 means rejected.
	next      []int16
	initial   int16
	stateByID map[string]int16
	eventByID map[string]int16
}

// file is the YAML form of a chart.
type file struct {
	Chart   string                       `yaml:"chart"`
	Initial string                       `yaml:"initial"`
	States  map[string]map[string]string `yaml:"states"`
	Final   []string                     `yaml:"final"`
}

func mustLoad(name string) *Chart {
	data, err := files.ReadFile(name + ".yaml")
	if err != nil {
		panic(fmt.Sprintf("chart: %v", err))
	}
	c, err := Compile(data)
	if err != nil {
		panic(fmt.Sprintf("chart: %s: %v", name, err))
	}
	return c
}

// Compile checks the YAML text of a chart and compiles it to a table.
func Compile(data []byte) (*Chart, error) {
	var f file
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&f); err != nil {
		return nil, fmt.Errorf("compile chart: %w", err)
	}
	c := &Chart{name: f.Chart, stateByID: map[string]int16{}, eventByID: map[string]int16{}}
	c.index(&f)
	if err := c.link(&f); err != nil {
		return nil, fmt.Errorf("compile chart %s: %w", f.Chart, err)
	}
	return c, nil
}

func (c *Chart) index(f *file) {
	for s, exits := range f.States {
		c.states = append(c.states, s)
		for e := range exits {
			if !slices.Contains(c.events, e) {
				c.events = append(c.events, e)
			}
		}
	}
	slices.Sort(c.states)
	slices.Sort(c.events)
	for i, s := range c.states {
		c.stateByID[s] = int16(i)
	}
	for i, e := range c.events {
		c.eventByID[e] = int16(i)
	}
}

func (c *Chart) link(f *file) error {
	initial, ok := c.stateByID[f.Initial]
	if !ok {
		return fmt.Errorf("initial state %q is not a state", f.Initial)
	}
	c.initial = initial
	c.next = make([]int16, len(c.states)*len(c.events))
	for i := range c.next {
		c.next[i] = -1
	}
	for s, exits := range f.States {
		for e, to := range exits {
			t, ok := c.stateByID[to]
			if !ok {
				return fmt.Errorf("state %s: event %s leads to unknown state %q", s, e, to)
			}
			c.next[int(c.stateByID[s])*len(c.events)+int(c.eventByID[e])] = t
		}
	}
	return c.checkFinal(f)
}

func (c *Chart) checkFinal(f *file) error {
	c.final = make([]bool, len(c.states))
	for _, s := range f.Final {
		i, ok := c.stateByID[s]
		if !ok {
			return fmt.Errorf("final state %q is not a state", s)
		}
		c.final[i] = true
	}
	for i, s := range c.states {
		if exits := len(f.States[s]); c.final[i] != (exits == 0) {
			return fmt.Errorf("state %s has %d exits, which contradicts the list of final states", s, exits)
		}
	}
	return nil
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// States returns the names of the states in order.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Events returns the names of the events in order.
func (c *Chart) Events() []string { return slices.Clone(c.events) }

// Final reports whether a state is final.
func (c *Chart) Final(state string) bool {
	i, ok := c.stateByID[state]
	return ok && c.final[i]
}

// Next returns the state that follows, and whether there is a transition.
func (c *Chart) Next(state, event string) (string, bool) {
	s, ok := c.stateByID[state]
	if !ok {
		return "", false
	}
	e, ok := c.eventByID[event]
	if !ok {
		return "", false
	}
	t := c.next[int(s)*len(c.events)+int(e)]
	if t < 0 {
		return "", false
	}
	return c.states[t], true
}

// State and Event are a state and an event of one chart, for use on hot paths.
type (
	State int16
	Event int16
)

// Initial returns the initial state.
func (c *Chart) Initial() State { return State(c.initial) }

// MustState returns the named state. It panics if the chart has none, so it is
// for the initialization of packages.
func (c *Chart) MustState(name string) State {
	s, ok := c.stateByID[name]
	if !ok {
		panic(fmt.Sprintf("chart: %s has no state %s", c.name, name))
	}
	return State(s)
}

// MustEvent returns the named event and panics if the chart has none.
func (c *Chart) MustEvent(name string) Event {
	e, ok := c.eventByID[name]
	if !ok {
		panic(fmt.Sprintf("chart: %s has no event %s", c.name, name))
	}
	return Event(e)
}

// Step returns the state that follows. For an event that s rejects it returns s
// and false.
func (c *Chart) Step(s State, e Event) (State, bool) {
	if t := c.next[int(s)*len(c.events)+int(e)]; t >= 0 {
		return State(t), true
	}
	return s, false
}

// StateName returns the name of a state.
func (c *Chart) StateName(s State) string { return c.states[s] }

// Machine is the current state of one thing that a chart describes. The zero
// value has no chart; Chart.Start makes one.
type Machine struct {
	chart *Chart
	state int16
}

// Start returns a Machine in the initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.initial} }

// State returns the name of the current state.
func (m Machine) State() string { return m.chart.states[m.state] }

// Final reports whether the current state is final.
func (m Machine) Final() bool { return m.chart.final[m.state] }

// Can reports whether the current state has a transition for the event.
func (m Machine) Can(event string) bool {
	_, ok := m.chart.Next(m.State(), event)
	return ok
}

// Fire takes the transition of the event. An event that the state rejects
// returns an error that wraps ErrRejected and changes nothing.
func (m *Machine) Fire(event string) error {
	e, ok := m.chart.eventByID[event]
	if ok {
		if t := m.chart.next[int(m.state)*len(m.chart.events)+int(e)]; t >= 0 {
			m.state = t
			return nil
		}
	}
	return fmt.Errorf("%s in state %s: %s: %w", m.chart.name, m.State(), event, ErrRejected)
}
