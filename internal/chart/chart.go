// Package chart holds the state machines of the system. Each one is defined in
// a YAML file that lists the states, the final states and the transitions of
// each state by event.
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
var definitions embed.FS

// The charts, compiled from the embedded YAML files.
var (
	Task     = mustLoad("task")
	Job      = mustLoad("job")
	Upstream = mustLoad("upstream")
	Node     = mustLoad("node")
	Shard    = mustLoad("shard")
)

// ErrRejected means that the current state has no transition for the event.
var ErrRejected = errors.New("event rejected")

// Chart is a compiled state machine definition. It is immutable.
type Chart struct {
	name   string
	states []string
	events []string
	final  []bool
	// transitions holds the next state at state*len(events)+event, or -1 if the
	// state rejects the event.
	transitions []int16
	initial     int16
	stateIndex  map[string]int16
	eventIndex  map[string]int16
}

// definition is the YAML document of a chart.
type definition struct {
	Chart   string `yaml:"chart"`
	Initial string `yaml:"initial"`
	// States maps each state to its transitions, which map an event to the next state.
	States map[string]map[string]string `yaml:"states"`
	Final  []string                     `yaml:"final"`
}

func mustLoad(name string) *Chart {
	data, err := definitions.ReadFile(name + ".yaml")
	if err != nil {
		panic(fmt.Sprintf("chart: %v", err))
	}
	c, err := Compile(data)
	if err != nil {
		panic(fmt.Sprintf("chart: %s: %v", name, err))
	}
	return c
}

// Compile validates the YAML definition of a chart and builds its transition table.
func Compile(data []byte) (*Chart, error) {
	var d definition
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&d); err != nil {
		return nil, fmt.Errorf("compile chart: %w", err)
	}
	c := &Chart{name: d.Chart, stateIndex: map[string]int16{}, eventIndex: map[string]int16{}}
	c.indexNames(&d)
	if err := c.buildTransitions(&d); err != nil {
		return nil, fmt.Errorf("compile chart %s: %w", d.Chart, err)
	}
	return c, nil
}

// indexNames numbers the states and events in alphabetical order.
func (c *Chart) indexNames(d *definition) {
	for s, nextStates := range d.States {
		c.states = append(c.states, s)
		for e := range nextStates {
			if !slices.Contains(c.events, e) {
				c.events = append(c.events, e)
			}
		}
	}
	slices.Sort(c.states)
	slices.Sort(c.events)
	for i, s := range c.states {
		c.stateIndex[s] = int16(i)
	}
	for i, e := range c.events {
		c.eventIndex[e] = int16(i)
	}
}

func (c *Chart) buildTransitions(d *definition) error {
	initial, ok := c.stateIndex[d.Initial]
	if !ok {
		return fmt.Errorf("initial state %q is not a state", d.Initial)
	}
	c.initial = initial
	c.transitions = make([]int16, len(c.states)*len(c.events))
	for i := range c.transitions {
		c.transitions[i] = -1
	}
	for s, nextStates := range d.States {
		for e, to := range nextStates {
			t, ok := c.stateIndex[to]
			if !ok {
				return fmt.Errorf("state %s: event %s leads to unknown state %q", s, e, to)
			}
			c.transitions[int(c.stateIndex[s])*len(c.events)+int(c.eventIndex[e])] = t
		}
	}
	return c.checkFinal(d)
}

// checkFinal requires that exactly the final states have no outgoing transitions.
func (c *Chart) checkFinal(d *definition) error {
	c.final = make([]bool, len(c.states))
	for _, s := range d.Final {
		i, ok := c.stateIndex[s]
		if !ok {
			return fmt.Errorf("final state %q is not a state", s)
		}
		c.final[i] = true
	}
	for i, s := range c.states {
		if outgoing := len(d.States[s]); c.final[i] != (outgoing == 0) {
			return fmt.Errorf("state %s has %d outgoing transitions, which contradicts the list of final states", s, outgoing)
		}
	}
	return nil
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// States returns the names of the states in alphabetical order.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Events returns the names of the events in alphabetical order.
func (c *Chart) Events() []string { return slices.Clone(c.events) }

// Final reports whether a state is final.
func (c *Chart) Final(state string) bool {
	i, ok := c.stateIndex[state]
	return ok && c.final[i]
}

// Next returns the state that follows the event, and whether the state has a
// transition for it.
func (c *Chart) Next(state, event string) (string, bool) {
	s, ok := c.stateIndex[state]
	if !ok {
		return "", false
	}
	e, ok := c.eventIndex[event]
	if !ok {
		return "", false
	}
	t := c.transitions[int(s)*len(c.events)+int(e)]
	if t < 0 {
		return "", false
	}
	return c.states[t], true
}

// State and Event are indexes of a state and an event in one chart. Hot paths use
// them instead of names.
type (
	State int16
	Event int16
)

// Initial returns the initial state.
func (c *Chart) Initial() State { return State(c.initial) }

// MustState returns the named state. It panics if the chart has none, so it is
// meant for package initialization.
func (c *Chart) MustState(name string) State {
	s, ok := c.stateIndex[name]
	if !ok {
		panic(fmt.Sprintf("chart: %s has no state %s", c.name, name))
	}
	return State(s)
}

// MustEvent returns the named event and panics if the chart has none.
func (c *Chart) MustEvent(name string) Event {
	e, ok := c.eventIndex[name]
	if !ok {
		panic(fmt.Sprintf("chart: %s has no event %s", c.name, name))
	}
	return Event(e)
}

// Step returns the state that follows s on event e. If s rejects e, it returns s
// and false.
func (c *Chart) Step(s State, e Event) (State, bool) {
	if t := c.transitions[int(s)*len(c.events)+int(e)]; t >= 0 {
		return State(t), true
	}
	return s, false
}

// StateName returns the name of a state.
func (c *Chart) StateName(s State) string { return c.states[s] }

// Machine tracks the current state of one instance of a chart. The zero value
// has no chart and must not be used; Chart.NewMachine returns a usable Machine.
type Machine struct {
	chart *Chart
	state int16
}

// NewMachine returns a Machine in the initial state.
func (c *Chart) NewMachine() Machine { return Machine{chart: c, state: c.initial} }

// State returns the name of the current state.
func (m Machine) State() string { return m.chart.states[m.state] }

// Final reports whether the current state is final.
func (m Machine) Final() bool { return m.chart.final[m.state] }

// Can reports whether the current state has a transition for the event.
func (m Machine) Can(event string) bool {
	_, ok := m.chart.Next(m.State(), event)
	return ok
}

// Fire performs the transition for the event. If the state rejects the event, it
// keeps the state and returns an error that wraps ErrRejected.
func (m *Machine) Fire(event string) error {
	e, ok := m.chart.eventIndex[event]
	if ok {
		if t := m.chart.transitions[int(m.state)*len(m.chart.events)+int(e)]; t >= 0 {
			m.state = t
			return nil
		}
	}
	return fmt.Errorf("%s in state %s: %s: %w", m.chart.name, m.State(), event, ErrRejected)
}
