package dispatch

import "cactuspost.example/internal/structs"

// Stats holds an entry's counters since its start.
type Stats struct {
	// Messages counts the messages by content.
	Messages MessageCounts `json:"messages"`
	// TasksGranted counts grants: a task that is granted again counts again.
	TasksGranted    uint64 `json:"tasks_granted"`
	TasksDone       uint64 `json:"tasks_done"`
	TasksFailed     uint64 `json:"tasks_failed"`
	JobsAccepted    uint64 `json:"jobs_accepted"`
	JobsComplete    uint64 `json:"jobs_complete"`
	JobsFailed      uint64 `json:"jobs_failed"`
	JobsRefused     uint64 `json:"jobs_refused"`
	JobsResubmitted uint64 `json:"jobs_resubmitted"`
}

// MessageCounts counts link frames and their contents, sent and received.
type MessageCounts struct {
	Grants   uint64 `json:"grants"`
	Results  uint64 `json:"results"`
	Refusals uint64 `json:"refusals"`
	// Frames counts all frames, in both directions.
	Frames uint64 `json:"frames"`
	// Offers counts frames that offered credits but carried no result, refusal or
	// hello.
	Offers uint64 `json:"offers"`
	// Revokes counts frames sent to revoke credits.
	Revokes uint64 `json:"revokes"`
	// Demands counts frames that carried a demand but no grant, cancellation
	// or welcome.
	Demands uint64 `json:"demands"`
	// Acks counts frames that carried only acknowledgements.
	Acks       uint64 `json:"acks"`
	Cancels    uint64 `json:"cancels"`
	Heartbeats uint64 `json:"heartbeats"`
}

// Wasted returns the number of messages that did not start a task. A refused grant
// counts twice, for the grant and the refusal. A revocation counts once, and so does
// a frame sent for a demand.
func (m *MessageCounts) Wasted() uint64 { return 2*m.Refusals + m.Revokes + m.Demands }

// Add adds other to m.
func (m *MessageCounts) Add(other *MessageCounts) {
	m.Grants += other.Grants
	m.Results += other.Results
	m.Refusals += other.Refusals
	m.Frames += other.Frames
	m.Offers += other.Offers
	m.Revokes += other.Revokes
	m.Demands += other.Demands
	m.Acks += other.Acks
	m.Cancels += other.Cancels
	m.Heartbeats += other.Heartbeats
}

// countFrame counts a frame from an agent by the most important part that it
// carries.
func (c *Core) countFrame(m *structs.FromAgent) {
	n := &c.stats.Messages
	switch {
	case len(m.Results) > 0 || len(m.Refusals) > 0 || m.Hello != nil:
	case m.Offered.Total() > 0:
		n.Offers++
	case m.Revoked.Total() > 0:
		n.Revokes++
	case m.Heartbeat:
		n.Heartbeats++
	}
}

// countSent counts a frame to an agent by the most important part that it carries.
func (c *Core) countSent(m *structs.FromEntry) {
	n := &c.stats.Messages
	n.Frames++
	switch {
	case len(m.Grants) > 0 || len(m.Cancels) > 0 || m.Welcome != nil:
	case m.Demand != nil:
		n.Demands++
	case len(m.Acks) > 0:
		n.Acks++
	}
}
