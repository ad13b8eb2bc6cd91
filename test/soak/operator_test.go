package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

const (
	// publishInterval is the interval between new configurations, probeInterval
	// the interval at which each entry is asked which one is in force.
	publishInterval = 3 * time.Second
	probeInterval   = 200 * time.Millisecond
	probeTimeout    = 500 * time.Millisecond
	// probedVersions is how many versions an entry may be behind and still be
	// noticed.
	probedVersions = 10
)

// probe records the version that an entry reported as in force.
type probe struct {
	entryNode   *cluster.EntryNode
	incarnation int64
	sentAt      time.Time
	version     uint64
}

// operator publishes configurations and asks each entry which one is in force.
// To tell versions apart, version N has a route /vN/ that no other version has.
// It runs on one goroutine.
type operator struct {
	soak *soak
	// publishedAt holds the time of each version, beginning with version 1.
	publishedAt []time.Time
	probes      []probe
	clients     []*standin.Client
}

func newOperator(s *soak) *operator {
	o := &operator{soak: s}
	for _, e := range s.site.EntryNodes {
		o.clients = append(o.clients, standin.NewClient(e.Clients.Address()))
	}
	return o
}

func (o *operator) version() uint64 { return uint64(len(o.publishedAt)) }

func (o *operator) publish() {
	version := o.version() + 1
	route := func(name, prefix string) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: prefix, Service: cluster.Service, TimeoutMS: int((o.soak.plan.timeout * 3 / 4).Milliseconds()), ObjectiveMS: 300, Stretch: 4, MaxAttempts: 3}
	}
	o.soak.site.Store.Configure(version, []standin.Route{
		route("jobs", jobsPrefix), route(fmt.Sprintf("v%d", version), prefixOf(version)),
	})
	o.publishedAt = append(o.publishedAt, time.Now())
}

func prefixOf(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// run publishes configurations and probes the entries until stop is closed.
func (o *operator) run(ctx context.Context, stop <-chan struct{}) {
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		case <-o.soak.changes:
			o.publish()
			continue
		case <-time.After(probeInterval):
		}
		if time.Since(o.publishedAt[len(o.publishedAt)-1]) > publishInterval {
			o.publish()
		}
		for i, e := range o.soak.site.EntryNodes {
			o.probe(i, e)
		}
	}
}

// probe asks an entry for the routes of the newest probedVersions, newest first,
// and records the first one found. An answer is discarded if the process was
// restarted meanwhile.
func (o *operator) probe(i int, e *cluster.EntryNode) {
	incarnation := e.Starts.Load()
	for version := o.version(); version > 0 && version+probedVersions > o.version(); version-- {
		sentAt := time.Now()
		reply, err := o.clients[i].Pending(host, prefixOf(version), probeTimeout)
		if err != nil || incarnation != e.Starts.Load() || (reply.Status != 200 && reply.Status != 404) {
			return
		}
		if reply.Status == 200 {
			o.probes = append(o.probes, probe{entryNode: e, incarnation: incarnation, sentAt: sentAt, version: version})
			return
		}
	}
}

// violations checks that an entry never goes back to an older configuration
// between two restarts, and that away from unplanned faults a configuration is
// in force within configBound.
func (o *operator) violations() (violations []string) {
	newest := map[string]uint64{}
	for _, p := range o.probes {
		incarnation := strings.Join([]string{p.entryNode.Name, fmt.Sprint(p.incarnation)}, "/")
		if p.version < newest[incarnation] {
			violations = append(violations, fmt.Sprintf("%s went back from version %d to %d, %s", incarnation, newest[incarnation], p.version, clockTime(p.sentAt)))
		}
		newest[incarnation] = max(newest[incarnation], p.version)
		due := o.dueAt(p.sentAt)
		if due == 0 || o.soak.disrupted(o.publishedAt[due-1].Add(-disruptionTail), p.sentAt) {
			continue
		}
		o.soak.probesChecked++
		if p.version < due {
			violations = append(violations, fmt.Sprintf("%s has version %d %v after version %d, %s", incarnation, p.version, p.sentAt.Sub(o.publishedAt[due-1]), due, clockTime(p.sentAt)))
		}
	}
	return violations
}

// dueAt returns the newest version that must be in force at a time, or 0.
func (o *operator) dueAt(t time.Time) uint64 {
	due := uint64(0)
	for i, at := range o.publishedAt {
		if t.After(at.Add(configBound)) {
			due = uint64(i + 1)
		}
	}
	return due
}
