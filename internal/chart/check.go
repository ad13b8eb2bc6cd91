package chart

import (
	"fmt"
	"slices"
)

// check validates a definition and returns descriptions of all errors, in a stable
// order. It looks for unreachable states only if there are no other errors.
func check(name string, def *Definition) []string {
	c := &checker{def: def}
	c.checkHeader(name)
	for _, state := range def.StateNames() {
		c.checkState(state)
	}
	if len(c.faults) == 0 {
		c.checkReachability()
	}
	return c.faults
}

type checker struct {
	def    *Definition
	faults []string
}

func (c *checker) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) checkHeader(name string) {
	if c.def.Name != name {
		c.addFault("name is %q, but the file is named %q", c.def.Name, name)
	}
	if _, ok := c.def.States[c.def.Initial]; !ok {
		c.addFault("initial state %q is not a state", c.def.Initial)
	}
	for _, final := range c.def.Final {
		if _, ok := c.def.States[final]; !ok {
			c.addFault("final state %q is not a state", final)
		}
	}
	if len(c.def.States) > maxNames || len(c.def.Events) > maxNames {
		c.addFault("more than %d states or events", maxNames)
	}
}

func (c *checker) checkState(state string) {
	def := c.def.States[state]
	for _, event := range sortedKeys(def.On) {
		c.checkAlternatives(state, event, def.On[event])
	}
	for _, event := range def.Ignore {
		c.checkIgnored(state, event)
	}
	for _, event := range c.def.EventNames() {
		_, handled := def.On[event]
		if !handled && !slices.Contains(def.Ignore, event) {
			c.addFault("state %q neither handles nor ignores event %q", state, event)
		}
	}
	if slices.Contains(c.def.Final, state) && len(def.On) > 0 {
		c.addFault("final state %q has transitions", state)
	}
}

func (c *checker) checkIgnored(state, event string) {
	if _, ok := c.def.Events[event]; !ok {
		c.addFault("state %q ignores unknown event %q", state, event)
	}
	if _, ok := c.def.States[state].On[event]; ok {
		c.addFault("state %q both handles and ignores event %q", state, event)
	}
}

func (c *checker) checkAlternatives(state, event string, alternatives []Transition) {
	if _, ok := c.def.Events[event]; !ok {
		c.addFault("state %q handles unknown event %q", state, event)
	}
	if len(alternatives) == 0 {
		c.addFault("state %q, event %q: no alternatives", state, event)
	}
	for i, t := range alternatives {
		last := i == len(alternatives)-1
		if _, ok := c.def.States[t.To]; !ok {
			c.addFault("state %q, event %q: next state %q is not a state", state, event, t.To)
		}
		if last && t.If != "" {
			c.addFault("state %q, event %q: the last alternative has a guard", state, event)
		}
		if !last && t.If == "" {
			c.addFault("state %q, event %q: alternative %d has no guard, so the alternatives after it are never taken", state, event, i+1)
		}
	}
}

func (c *checker) checkReachability() {
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
			c.addFault("state %q is unreachable", state)
		}
	}
}
