package agent

import "cactuspost.example/internal/structs"

// Credits answer a load of few entries: each holds enough of them to start a task
// without asking. The more entries share an endpoint, the smaller their shares, and
// below the slots of one task a share starts nothing while every slot that is offered
// and taken back costs messages. The slots then stay free, and grants without a credit
// take them.

const (
	// needSmoothing is the weight of a grant in usualNeed.
	needSmoothing = 0.05
	// resumeFactor is by how much a share must exceed a usual task before credits are
	// offered again, so that small changes don't turn them on and off.
	resumeFactor = 1.25
)

// recordNeed updates the number of slots that a grant usually takes.
func (c *Core) recordNeed(g *structs.Grant) {
	if c.usualNeed == 0 {
		c.usualNeed = float64(g.Credits())
	}
	c.usualNeed += needSmoothing * (float64(g.Credits()) - c.usualNeed)
}

// decideWithholding withholds credits while an even share of the slots is too small for
// a usual task. It takes back those that entries hold when it begins to.
func (c *Core) decideWithholding() {
	if !c.opts.Divided {
		return
	}
	sharers := 0
	for _, l := range c.links {
		if l.takesUnrequestedCredits() {
			sharers++
		}
	}
	least := c.usualNeed
	if c.creditsWithheld {
		least *= resumeFactor
	}
	withheld := sharers > 0 && float64(c.usableSlots) < least*float64(sharers)
	if withheld && !c.creditsWithheld {
		c.revokeAllCredits()
	}
	c.creditsWithheld = withheld
}
