// Package wire encodes the messages of internal/structs for the link between
// agent and entry. A frame consists of a four-byte big-endian length and one
// protobuf message. No other package depends on the encoding.
package wire

import (
	"encoding/binary"
	"encoding/json"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire/wirepb"
)

// HeaderBytes is the size of a frame's header, which contains the length of the
// message.
const HeaderBytes = 4

// MaxFrameBytes is the maximum length of an encoded message, without the header.
const MaxFrameBytes = 16 << 20

// FrameLength returns the length of the message that follows a header. It returns
// a failure of kind TooLarge if the length exceeds MaxFrameBytes.
func FrameLength(header []byte) (int, error) {
	n := binary.BigEndian.Uint32(header)
	if n > MaxFrameBytes {
		return 0, failure.Newf(failure.TooLarge, failure.NotRun, "frame of %d bytes exceeds the limit of %d bytes", n, MaxFrameBytes)
	}
	return int(n), nil
}

// AppendFromAgent encodes a message and appends its frame to buf.
func AppendFromAgent(buf []byte, m *structs.FromAgent) ([]byte, error) {
	pb, err := fromAgentToPB(m)
	if err != nil {
		return buf, err
	}
	return appendFrame(buf, pb)
}

// AppendFromEntry encodes a message and appends its frame to buf.
func AppendFromEntry(buf []byte, m *structs.FromEntry) ([]byte, error) {
	pb, err := fromEntryToPB(m)
	if err != nil {
		return buf, err
	}
	return appendFrame(buf, pb)
}

func appendFrame(buf []byte, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return buf[:start], failure.Wrap(err, failure.Internal, failure.NotRun, "encode frame")
	}
	size := len(buf) - start - HeaderBytes
	if size > MaxFrameBytes {
		return buf[:start], failure.Newf(failure.TooLarge, failure.NotRun, "frame of %d bytes exceeds the limit of %d bytes", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// DecodeFromAgent decodes the body of a frame. The result does not share memory
// with body. It returns a failure of kind Invalid if body is not a valid message.
func DecodeFromAgent(body []byte) (*structs.FromAgent, error) {
	var pb wirepb.FromAgent
	if err := proto.Unmarshal(body, &pb); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, failure.NotRun, "decode frame from agent")
	}
	return fromAgentFromPB(&pb)
}

// DecodeFromEntry is like DecodeFromAgent, for messages from an entry.
func DecodeFromEntry(body []byte) (*structs.FromEntry, error) {
	var pb wirepb.FromEntry
	if err := proto.Unmarshal(body, &pb); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, failure.NotRun, "decode frame from entry")
	}
	return fromEntryFromPB(&pb)
}

func fromAgentToPB(m *structs.FromAgent) (*wirepb.FromAgent, error) {
	pb := &wirepb.FromAgent{
		Idle: m.Idle, Leaving: m.Leaving, Revision: m.Revision, Heartbeat: m.Heartbeat, Sent: uint64(m.Sent), Busy: m.Busy, Waiting: m.Waiting,
		Offered: creditsToPB(m.Offered), Revoked: creditsToPB(m.Revoked), Started: grantIDsToPB(m.Started),
	}
	if m.Hello != nil {
		pb.Hello = helloToPB(m.Hello)
	}
	for i := range m.Results {
		r := &m.Results[i]
		pb.Results = append(pb.Results, &wirepb.Result{
			Grant: grantIDToPB(r.Grant), Outcome: uint32(r.Outcome),
			Payload: r.Payload, RunTimeUs: r.RunTime.Microseconds(), WorkerCrashed: r.WorkerCrashed,
		})
	}
	for _, r := range m.Refusals {
		pb.Refusals = append(pb.Refusals, &wirepb.Refusal{Grant: grantIDToPB(r.Grant), Reason: uint32(r.Reason)})
	}
	var err error
	pb.Config, err = encodeDocument(m.Config)
	return pb, err
}

func fromAgentFromPB(pb *wirepb.FromAgent) (*structs.FromAgent, error) {
	m := &structs.FromAgent{
		Idle: pb.Idle, Leaving: pb.Leaving, Revision: pb.Revision, Heartbeat: pb.Heartbeat, Sent: structs.Stamp(pb.Sent), Busy: pb.Busy, Waiting: pb.Waiting,
		Offered: creditsFromPB(pb.Offered), Revoked: creditsFromPB(pb.Revoked), Started: grantIDsFromPB(pb.Started),
	}
	if pb.Hello != nil {
		m.Hello = helloFromPB(pb.Hello)
	}
	for _, r := range pb.Results {
		m.Results = append(m.Results, structs.Result{
			Grant: grantIDFromPB(r.Grant), Outcome: structs.Outcome(r.Outcome),
			Payload: r.Payload, RunTime: microsToDuration(r.RunTimeUs), WorkerCrashed: r.WorkerCrashed,
		})
	}
	for _, r := range pb.Refusals {
		m.Refusals = append(m.Refusals, structs.Refusal{Grant: grantIDFromPB(r.Grant), Reason: structs.RefusalReason(r.Reason)})
	}
	var err error
	m.Config, err = decodeDocument(pb.Config)
	return m, err
}

func fromEntryToPB(m *structs.FromEntry) (*wirepb.FromEntry, error) {
	pb := &wirepb.FromEntry{
		Acks: grantIDsToPB(m.Acks), Cancels: grantIDsToPB(m.Cancels),
		Heartbeat: m.Heartbeat, Leaving: m.Leaving, Released: m.Released, Seen: uint64(m.Seen), Handled: uint64(m.Handled), ConfigWanted: m.ConfigWanted,
	}
	if m.Welcome != nil {
		pb.Welcome = &wirepb.Welcome{Entry: peerToPB(m.Welcome.Entry), Revision: m.Welcome.Revision, Paced: m.Welcome.Paced}
	}
	for i := range m.Grants {
		g := &m.Grants[i]
		pb.Grants = append(pb.Grants, &wirepb.Grant{
			Id: grantIDToPB(g.ID), Service: g.Service, Kind: g.Kind, Long: g.Long, Reserved: g.Reserved,
			LimitUs: g.Limit.Microseconds(), Payload: g.Payload, Slots: g.Slots, Name: g.Name,
			Queued: g.Queued, NoWait: g.NoWait, StartWithinUs: g.StartWithin.Microseconds(),
		})
	}
	if d := m.Demand; d != nil {
		pb.Demand = &wirepb.Demand{Short: d.Short, Long: d.Long, HeadAgeUs: d.HeadAge.Microseconds()}
	}
	for _, p := range m.Peers {
		pb.Peers = append(pb.Peers, peerToPB(p))
	}
	var err error
	pb.Config, err = encodeDocument(m.Config)
	return pb, err
}

func fromEntryFromPB(pb *wirepb.FromEntry) (*structs.FromEntry, error) {
	m := &structs.FromEntry{
		Acks: grantIDsFromPB(pb.Acks), Cancels: grantIDsFromPB(pb.Cancels),
		Heartbeat: pb.Heartbeat, Leaving: pb.Leaving, Released: pb.Released, Seen: structs.Stamp(pb.Seen), Handled: structs.Stamp(pb.Handled), ConfigWanted: pb.ConfigWanted,
	}
	if pb.Welcome != nil {
		m.Welcome = &structs.Welcome{Entry: peerFromPB(pb.Welcome.Entry), Revision: pb.Welcome.Revision, Paced: pb.Welcome.Paced}
	}
	for _, g := range pb.Grants {
		m.Grants = append(m.Grants, structs.Grant{
			ID: grantIDFromPB(g.Id), Service: g.Service, Kind: g.Kind, Long: g.Long, Reserved: g.Reserved,
			Limit: microsToDuration(g.LimitUs), Payload: g.Payload, Slots: g.Slots, Name: g.Name,
			Queued: g.Queued, NoWait: g.NoWait, StartWithin: microsToDuration(g.StartWithinUs),
		})
	}
	if d := pb.Demand; d != nil {
		m.Demand = &structs.Demand{Short: d.Short, Long: d.Long, HeadAge: microsToDuration(d.HeadAgeUs)}
	}
	for _, p := range pb.Peers {
		m.Peers = append(m.Peers, peerFromPB(p))
	}
	var err error
	m.Config, err = decodeDocument(pb.Config)
	return m, err
}

// encodedDocument is a document with its encoding.
type encodedDocument struct {
	doc  *structs.Document
	text []byte
}

// lastDocument is the document that was encoded last: an entry sends the same one to many
// agents, and a large one takes milliseconds to encode. Documents are immutable.
var lastDocument atomic.Pointer[encodedDocument]

func encodeDocument(doc *structs.Document) ([]byte, error) {
	if doc == nil {
		return nil, nil
	}
	if last := lastDocument.Load(); last != nil && last.doc == doc {
		return last.text, nil
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode configuration")
	}
	lastDocument.Store(&encodedDocument{doc: doc, text: text})
	return text, nil
}

func decodeDocument(text []byte) (*structs.Document, error) {
	if len(text) == 0 {
		return nil, nil
	}
	doc := &structs.Document{}
	if err := json.Unmarshal(text, doc); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, failure.NotRun, "decode configuration")
	}
	return doc, nil
}

func microsToDuration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func helloToPB(h *structs.Hello) *wirepb.Hello {
	return &wirepb.Hello{
		Endpoint: h.Endpoint, Incarnation: uint64(h.Incarnation), Pool: h.Pool, DataCentre: h.DataCentre,
		Slots: h.Slots, Held: grantIDsToPB(h.Held), Leaving: h.Leaving,
		Connection: h.Connection, Session: h.Session, Divided: h.Divided, Paced: h.Paced, Born: h.Tenure.Born, Token: h.Tenure.Token,
		Capacity: &wirepb.Needs{
			Cores: h.Capacity.Cores, Millicores: h.Capacity.Millicores,
			MemoryMb: h.Capacity.MemoryMB, Accelerators: h.Capacity.Accelerators,
		},
	}
}

func helloFromPB(pb *wirepb.Hello) *structs.Hello {
	capacity := pb.GetCapacity()
	return &structs.Hello{
		Endpoint: pb.Endpoint, Incarnation: structs.Incarnation(pb.Incarnation), Pool: pb.Pool, DataCentre: pb.DataCentre,
		Slots: pb.Slots, Held: grantIDsFromPB(pb.Held), Leaving: pb.Leaving,
		Connection: pb.Connection, Session: pb.Session, Divided: pb.Divided, Paced: pb.Paced, Tenure: structs.Tenure{Born: pb.Born, Token: pb.Token},
		Capacity: structs.Needs{
			Cores: capacity.GetCores(), Millicores: capacity.GetMillicores(),
			MemoryMB: capacity.GetMemoryMb(), Accelerators: capacity.GetAccelerators(),
		},
	}
}

func creditsToPB(c structs.Credits) *wirepb.Credits {
	if c == (structs.Credits{}) {
		return nil
	}
	return &wirepb.Credits{Any: c.Any, Short: c.Short}
}

func creditsFromPB(pb *wirepb.Credits) structs.Credits {
	return structs.Credits{Any: pb.GetAny(), Short: pb.GetShort()}
}

func grantIDToPB(id structs.GrantID) *wirepb.GrantID {
	return &wirepb.GrantID{Owner: uint64(id.Owner), Job: id.Job, Task: id.Task, Attempt: id.Attempt}
}

func grantIDFromPB(pb *wirepb.GrantID) structs.GrantID {
	return structs.GrantID{Owner: structs.Incarnation(pb.GetOwner()), Job: pb.GetJob(), Task: pb.GetTask(), Attempt: pb.GetAttempt()}
}

func grantIDsToPB(ids []structs.GrantID) []*wirepb.GrantID {
	var pbs []*wirepb.GrantID
	for _, id := range ids {
		pbs = append(pbs, grantIDToPB(id))
	}
	return pbs
}

func grantIDsFromPB(pbs []*wirepb.GrantID) []structs.GrantID {
	var ids []structs.GrantID
	for _, pb := range pbs {
		ids = append(ids, grantIDFromPB(pb))
	}
	return ids
}

func peerToPB(p structs.Peer) *wirepb.Peer {
	return &wirepb.Peer{
		Name: p.Name, Incarnation: uint64(p.Incarnation), DataCentre: p.DataCentre,
		LinkAddress: p.LinkAddress, PeerAddress: p.PeerAddress, HttpAddress: p.HTTPAddress,
	}
}

func peerFromPB(pb *wirepb.Peer) structs.Peer {
	return structs.Peer{
		Name: pb.GetName(), Incarnation: structs.Incarnation(pb.GetIncarnation()), DataCentre: pb.GetDataCentre(),
		LinkAddress: pb.GetLinkAddress(), PeerAddress: pb.GetPeerAddress(), HTTPAddress: pb.GetHttpAddress(),
	}
}
