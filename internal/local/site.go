// Package local runs a complete site in one process, for the demo and for
// development: a stand-in for the platform's table, and entries, agents and
// sample endpoints with the sample settings. All parts communicate over sockets
// on the loopback interface, as separate processes would.
package local

import (
	"context"
	"fmt"
	"io"
	"time"

	"cactuspost.example/internal/agentd"
	"cactuspost.example/internal/entryd"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/release"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
	"cactuspost.example/samples"
)

const (
	// agentCount is the number of workers in a site.
	agentCount = 3
	// tableTimeout is the timeout of a request to the table.
	tableTimeout = 2 * time.Second
	// anyPort is an address on which the operating system chooses the port.
	anyPort = "127.0.0.1:0"
)

// runTimeFactors are the run times on the workers relative to the fastest one.
// They differ because a pool may consist of machines of different speeds.
var runTimeFactors = [agentCount]float64{1, 2, 4}

// Options configures a site.
type Options struct {
	// SamplePorts selects the ports of the sample settings, so that the defaults of
	// the command line reach the site. Otherwise the operating system chooses.
	SamplePorts bool
	// Log receives the events of all daemons.
	Log *logging.Logger
}

// Site is a running site.
type Site struct {
	table     *standin.Server
	store     *table.Client
	entries   []*entryd.Daemon
	agents    []*agentd.Daemon
	endpoints []*standin.Endpoint
	settings  *settings.Entry
}

// Start starts a site and publishes the first release note. It returns a failure
// if it cannot listen on an address or the note is not accepted. The site ends by
// Stop.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{}
	steps := []func(context.Context, Options) error{s.startTable, s.publish, s.startEntries, s.startAgents}
	for _, step := range steps {
		if err := step(ctx, o); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) startTable(_ context.Context, o Options) error {
	address := anyPort
	loaded, err := loadEntry("entry.jsonc")
	if err != nil {
		return err
	}
	s.settings = loaded
	if o.SamplePorts {
		address = loaded.TableAddress
	}
	if s.table, err = standin.Serve(standin.NewTable(), address); err != nil {
		return err
	}
	s.store = table.NewClient(s.table.Address(), tableTimeout)
	return nil
}

func (s *Site) publish(ctx context.Context, _ Options) error {
	text, err := samples.Files.ReadFile("first-note.jsonc")
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "read the sample note")
	}
	note, err := release.Parse(text)
	if err != nil {
		return err
	}
	_, err = release.Publish(ctx, s.store, note, false, time.Now)
	return err
}

func (s *Site) startEntries(ctx context.Context, o Options) error {
	for _, name := range []string{"entry.jsonc", "entry2.jsonc"} {
		loaded, err := loadEntry(name)
		if err != nil {
			return err
		}
		config := entryd.FromSettings(loaded)
		config.Store = s.store
		config.Log = o.Log
		if !o.SamplePorts {
			config.HTTPAddress, config.LinkAddress, config.PeerAddress = anyPort, anyPort, anyPort
			config.Self.HTTPAddress, config.Self.LinkAddress, config.Self.PeerAddress = "", "", ""
		}
		daemon, err := entryd.Start(ctx, config)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, daemon)
	}
	return nil
}

func loadEntry(name string) (*settings.Entry, error) {
	raw, err := samples.Files.ReadFile(name)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "read the sample settings")
	}
	return settings.LoadEntry(raw)
}

func (s *Site) startAgents(ctx context.Context, o Options) error {
	raw, err := samples.Files.ReadFile("agent.jsonc")
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "read the sample settings")
	}
	for i := range agentCount {
		if err := s.startAgent(ctx, o, raw, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startAgent(ctx context.Context, o Options, raw []byte, i int) error {
	loaded, err := settings.LoadAgent(raw)
	if err != nil {
		return err
	}
	behaviour := standin.EndpointBehaviour{RunTimeFactor: runTimeFactors[i]}
	endpoint, err := standin.StartEndpoint(standin.EndpointOptions{Listen: anyPort, Behaviour: behaviour})
	if err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, endpoint)
	loaded.Endpoint = fmt.Sprintf("worker-%d", i+1)
	loaded.EndpointAddress = endpoint.Address()
	if !o.SamplePorts || i > 0 {
		loaded.HTTPAddress = anyPort
	}
	loaded.Entries = nil
	for _, entry := range s.entries {
		loaded.Entries = append(loaded.Entries, entry.Self().LinkAddress)
	}
	daemon, err := agentd.Start(ctx, agentd.Config{Agent: *loaded, Log: o.Log})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, daemon)
	return nil
}

// Entries returns the names and addresses of the entries.
func (s *Site) Entries() []structs.Peer {
	var peers []structs.Peer
	for _, entry := range s.entries {
		peers = append(peers, entry.Self())
	}
	return peers
}

// CallerToken returns the sample token of the first team.
func (s *Site) CallerToken() string { return s.settings.Callers[0].Token.Reveal() }

// OperatorToken returns the sample token of the first operator.
func (s *Site) OperatorToken() string { return s.settings.Operators[0].Token.Reveal() }

// TableAddress returns the address of the table stand-in.
func (s *Site) TableAddress() string { return s.table.Address() }

// Describe prints the addresses of all parts of the site.
func (s *Site) Describe(out io.Writer) {
	fmt.Fprintf(out, "table stand-in  http://%s\n", s.table.Address())
	for _, p := range s.Entries() {
		fmt.Fprintf(out, "%-15s http://%s  (agents %s, entries %s)\n", p.Name, p.HTTPAddress, p.LinkAddress, p.PeerAddress)
	}
	for i, agent := range s.agents {
		fmt.Fprintf(out, "%-15s http://%s  (endpoint http://%s, run times ×%g)\n",
			fmt.Sprintf("worker-%d", i+1), agent.HTTPAddress(), s.endpoints[i].Address(), runTimeFactors[i])
	}
}

// Stop stops the site gracefully. Entries stop first, because they need the
// agents to finish their open jobs.
func (s *Site) Stop() {
	for _, entry := range s.entries {
		entry.Stop()
	}
	for _, entry := range s.entries {
		entry.Wait()
	}
	for _, agent := range s.agents {
		agent.Stop()
	}
	for _, agent := range s.agents {
		_ = agent.Wait()
	}
	for _, endpoint := range s.endpoints {
		endpoint.Stop()
	}
	s.table.Close()
}
