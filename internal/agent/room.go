package agent

import (
	"slices"
	"time"
)

// A grant that must not wait and finds no room is a request for the next room: its task
// waits at the entry, which may have asked several agents. The first of them that has
// room tells the entry, so that no task is bound to a queue while another worker has
// become idle.

// refusedEntry is an entry whose grant was refused for want of room.
type refusedEntry struct {
	link *link
	// need is the number of slots that the smallest of its refused grants takes.
	need int
}

// promise is room of which an entry was told. It is told to no other before the entry
// has had the time to take it.
type promise struct {
	slots int
	until time.Time
}

// promiseTime is the time that an entry has to take the room of which it was told: a
// round trip and the entry's delays.
const promiseTime = 10 * time.Millisecond

// rememberRefusal adds the run's entry to those that are told of room.
func (c *Core) rememberRefusal(r *run) {
	for i := range c.refusedEntries {
		if e := &c.refusedEntries[i]; e.link == r.link {
			e.need = min(e.need, r.grant.Credits())
			return
		}
	}
	c.refusedEntries = append(c.refusedEntries, refusedEntry{link: r.link, need: r.grant.Credits()})
}

// tellRefusedEntries tells entries of room for their refused grants, in the order of the
// refusals. Room that is used or promised counts only once.
func (c *Core) tellRefusedEntries() {
	if len(c.refusedEntries) == 0 {
		return
	}
	c.promises = slices.DeleteFunc(c.promises, func(p promise) bool { return !c.now.Before(p.until) })
	room := int(c.idleSlots(nil))
	for _, p := range c.promises {
		room -= p.slots
	}
	told := 0
	for _, e := range c.refusedEntries {
		if e.link.state == linkStates.Up && e.need > room {
			break
		}
		told++
		if e.link.state != linkStates.Up {
			continue
		}
		e.link.outgoingMessage()
		room -= e.need
		c.promises = append(c.promises, promise{slots: e.need, until: c.now.Add(promiseTime)})
	}
	c.refusedEntries = slices.Delete(c.refusedEntries, 0, told)
}
