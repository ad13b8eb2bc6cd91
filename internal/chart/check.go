package chart

import (
	"fmt"
	"slices"
)

// check returns every fault of a definition, in a stable order.
func check(name string, def *Definition) []string {
	c := &checker{def: def}
	c.header(name)
	for _, state := range def.StateNames() {
		c.state(state)
	}
	if len(c.faults) == 0 {
		c.reachable()
	}
	return c.faults
}

type checker struct {
	def    *Definition
	faults []string
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) header(name string) {
	if c.def.Name != name {
		c.fault("name is %q, the file is %q", c.def.Name, name)
	}
	if _, ok := c.def.States[c.def.Initial]; !ok {
		c.fault("initial state %q is not a state", c.def.Initial)
	}
	for _, final := range c.def.Final {
		if _, ok := c.def.States[final]; !ok {
			c.fault("final state %q is not a state", final)
		}
	}
	if len(c.def.States) > maxNames || len(c.def.Events) > maxNames {
		c.fault("more than %d states or events", maxNames)
	}
}

func (c *checker) state(state string) {
	def := c.def.States[state]
	for _, event := range sortedKeys(def.On) {
		c.pair(state, event, def.On[event])
	}
	for _, event := range def.Ignore {
		c.ignored(state, event)
	}
	for _, event := range c.def.EventNames() {
		_, handled := def.On[event]
		if !handled && !slices.Contains(def.Ignore, event) {
			c.fault("state %q neither handles nor ignores event %q", state, event)
		}
	}
	if slices.Contains(c.def.Final, state) && len(def.On) > 0 {
		c.fault("final state %q has transitions", state)
	}
}

func (c *checker) ignored(state, event string) {
	if _, ok := c.def.Events[event]; !ok {
		c.fault("state %q ignores unknown event %q", state, event)
	}
	if _, ok := c.def.States[state].On[event]; ok {
		c.fault("state %q both handles and ignores event %q", state, event)
	}
}

func (c *checker) pair(state, event string, alternatives []Transition) {
	if _, ok := c.def.Events[event]; !ok {
		c.fault("state %q handles unknown event %q", state, event)
	}
	if len(alternatives) == 0 {
		c.fault("state %q, event %q: no alternative", state, event)
	}
	for i, t := range alternatives {
		last := i == len(alternatives)-1
		if _, ok := c.def.States[t.To]; !ok {
			c.fault("state %q, event %q: next state %q is not a state", state, event, t.To)
		}
		if last && t.If != "" {
			c.fault("state %q, event %q: the last alternative has a guard", state, event)
		}
		if !last && t.If == "" {
			c.fault("state %q, event %q: alternative %d hides the ones after it", state, event, i+1)
		}
	}
}

func (c *checker) reachable() {
	seen := map[string]bool{}
	pending := []string{c.def.Initial}
	for len(pending) > 0 {
		state := pending[0]
		pending = pending[1:]
		if seen[state] {
			continue
		}
		seen[state] = true
		for _, alternatives := range c.def.States[state].On {
			for _, t := range alternatives {
				pending = append(pending, t.To)
			}
		}
	}
	for _, state := range c.def.StateNames() {
		if !seen[state] {
			c.fault("state %q is unreachable", state)
		}
	}
}
