package operations

import (
	"net/http"
	"testing"
	"time"

	"cactuspost.example/platform/standin"
)

// TestAgentWhoseSeedsAreGoneFindsTheEntries restarts an agent whose settings name
// an address where nobody answers; the entries are registered in the store.
func TestAgentWhoseSeedsAreGoneFindsTheEntries(t *testing.T) {
	p := newPlace(t)
	side := p.site.Sides[0]
	side.Kill()
	p.is.NoErr(side.Reseed([]string{p.site.Store.Address()})) // it speaks another protocol
	p.is.NoErr(side.Start())
	until := time.Now().Add(readyBound)
	for {
		reply, err := p.client.Submit(host, prefix, &standin.Job{
			ID: "00000000000000b1", Spec: standin.Spec(20*time.Millisecond, 500, false), Tasks: 1, CPU: 500, MemMB: 64,
			Estimate: 20 * time.Millisecond, Deadline: 2 * time.Second,
		})
		if err == nil && reply.Status == http.StatusOK {
			return
		}
		p.is.True(time.Now().Before(until)) // served again
		time.Sleep(lookAgain)
	}
}
