package entryd

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/release"
	"cactuspost.example/internal/table"
)

// Bounds of the operators' requests about release notes.
const (
	// publishTimeout bounds one publication with all its calls of the table.
	publishTimeout = 10 * time.Second
	// noteTimeout bounds the reading of one note.
	noteTimeout = 2 * time.Second
	// notesInboxSize bounds the requests that wait; further ones wait to send.
	notesInboxSize = 64
	// notesPeriod is how often the actor wakes when nothing arrives.
	notesPeriod = time.Minute
)

// notesMessage is an input of the notes actor.
type notesMessage interface{ isNotesMessage() }

// setInForce brings what the table says is in force.
type setInForce struct{ inForce *release.ActiveConfig }

// getInForce asks for it; the answer is nil before it was read.
type getInForce struct{ answer chan<- *release.ActiveConfig }

func (*setInForce) isNotesMessage() {}
func (*getInForce) isNotesMessage() {}

// notesActor keeps what is in force, as it was last read, so that operators can
// read it while the table is down.
type notesActor struct{ inForce *release.ActiveConfig }

// Handle processes one message.
func (a *notesActor) Handle(_ time.Time, m notesMessage) bool {
	switch m := m.(type) {
	case *setInForce:
		a.inForce = m.inForce
	case *getInForce:
		m.answer <- a.inForce
	}
	return true
}

// Tick has nothing to do.
func (a *notesActor) Tick(time.Time) bool { return true }

// Flush has nothing to do.
func (a *notesActor) Flush(time.Time) {}

// notes serves api.NotesPath.
type notes struct {
	inbox   *actor.Inbox[notesMessage]
	store   table.Store
	cluster *cluster
	log     *logging.Logger
}

// notesAnswer answers GET without a revision.
type notesAnswer struct {
	InForce   *release.ActiveConfig      `json:"in_force"`
	Note      *release.Note              `json:"note,omitempty"`
	Instances []release.InstanceRevision `json:"instances"`
}

// differencesAnswer answers a dry run.
type differencesAnswer struct {
	Differences []release.Difference `json:"differences"`
}

// serve implements Hook.
func (n *notes) serve(r OperatorRequest) ([]byte, *failure.Failure) {
	switch {
	case r.Method == http.MethodPost && r.Query[api.DryRunParameter] == "1":
		return n.dryRun(r)
	case r.Method == http.MethodPost:
		return n.publish(r)
	case r.Query[api.RevisionParameter] != "":
		return n.earlier(r)
	default:
		return n.current(r)
	}
}

// publish applies a note. Sending it again after an unknown outcome is safe.
func (n *notes) publish(r OperatorRequest) ([]byte, *failure.Failure) {
	note, err := release.Parse(r.Body)
	if err != nil {
		return nil, told(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	accepted, err := release.Publish(ctx, n.store, note, false, time.Now)
	if err != nil {
		n.reportRefusal(r, note, err)
		return nil, told(err)
	}
	n.log.Event(event.NoteAccepted, zap.String("operator", r.Operator), zap.String("note", note.ID), zap.Uint64("revision", accepted.Revision))
	if r.Text {
		return []byte(acceptedText(accepted)), nil
	}
	return encodeOr(accepted)
}

func (n *notes) reportRefusal(r OperatorRequest, note *release.Note, err error) {
	id := event.NoteRefused
	if failure.Of(err).Run == failure.Unknown {
		id = event.NoteOutcomeUnknown
	}
	n.log.Event(id, zap.String("operator", r.Operator), zap.String("note", note.ID), errorField(err))
}

func acceptedText(a release.Accepted) string {
	text := "Note " + a.Note + " made revision " + strconv.FormatUint(a.Revision, 10)
	if a.AlreadyApplied {
		return text + " when it was sent before.\n"
	}
	return text + ".\n"
}

func (n *notes) dryRun(r OperatorRequest) ([]byte, *failure.Failure) {
	note, err := release.Parse(r.Body)
	if err != nil {
		return nil, told(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	differences, err := release.DryRun(ctx, n.store, note, false)
	if err != nil {
		return nil, told(err)
	}
	if r.Text {
		return []byte(release.RenderDifferences(differences)), nil
	}
	return encodeOr(differencesAnswer{Differences: differences})
}

// earlier returns the note that made a revision, as it was published.
func (n *notes) earlier(r OperatorRequest) ([]byte, *failure.Failure) {
	number, err := strconv.ParseUint(r.Query[api.RevisionParameter], 10, 64)
	if err != nil || number == 0 {
		return nil, failure.New(failure.Invalid, failure.NotRun, api.RevisionParameter+" is not a revision")
	}
	inForce, refusal := n.known(nil)
	if refusal != nil {
		return nil, refusal
	}
	if number > inForce.Document.Revision {
		return nil, failure.New(failure.Invalid, failure.NotRun, "no note made this revision")
	}
	published, err := n.read(number)
	if err != nil {
		return nil, told(err)
	}
	if r.Text {
		return []byte(release.RenderPublished(published)), nil
	}
	return encodeOr(published)
}

func (n *notes) read(revision uint64) (*release.PublishedNote, error) {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	found, err := release.ReadNotes(ctx, n.store, revision-1, revision)
	if err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, failure.New(failure.Internal, failure.NotRun, "the note of the revision is not in the table")
	}
	return &found[0], nil
}

// current says what is in force, by which note, and where it is not yet.
func (n *notes) current(r OperatorRequest) ([]byte, *failure.Failure) {
	views, refusal := n.cluster.views()
	if refusal != nil {
		return nil, refusal
	}
	inForce, refusal := n.known(views)
	if refusal != nil {
		return nil, refusal
	}
	view := release.View{Config: *inForce, Instances: revisions(views), Now: time.Now()}
	if inForce.Document.Revision > 0 {
		// Without the table the page does without the note's own text.
		if published, err := n.read(inForce.Document.Revision); err == nil {
			view.Note = &published.Note
		}
	}
	if r.Text {
		return []byte(release.RenderNotes(view)), nil
	}
	return encodeOr(notesAnswer{InForce: inForce, Note: view.Note, Instances: view.Instances})
}

// known returns what is in force as this entry last read it.
func (n *notes) known(views []operator.EntryView) (*release.ActiveConfig, *failure.Failure) {
	answer := make(chan *release.ActiveConfig, 1)
	n.inbox.Send(&getInForce{answer: answer})
	var inForce *release.ActiveConfig
	select {
	case inForce = <-answer:
	case <-n.inbox.Done():
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry has stopped")
	}
	if inForce != nil {
		return inForce, nil
	}
	for _, view := range views {
		if view.Revision > 0 {
			return nil, failure.Newf(failure.Unavailable, failure.NotRun, "revision %d is in force, but this entry could not read its note yet", view.Revision)
		}
	}
	return &release.ActiveConfig{}, nil
}

// revisions lists the revision in force at each entry and each endpoint. An
// endpoint counts by the highest revision that any entry knows it to have.
func revisions(views []operator.EntryView) []release.InstanceRevision {
	var list []release.InstanceRevision
	endpoints := map[string]int{}
	for _, view := range views {
		list = append(list, release.InstanceRevision{Instance: view.Entry.Name, Revision: view.Revision})
		for _, endpoint := range view.Endpoints {
			i, seen := endpoints[endpoint.Endpoint]
			if !seen {
				i = len(list)
				endpoints[endpoint.Endpoint] = i
				list = append(list, release.InstanceRevision{Instance: endpoint.Endpoint})
			}
			list[i].Revision = max(list[i].Revision, endpoint.Revision)
		}
	}
	return list
}

// told returns the failure of an error, with the error's whole text.
func told(err error) *failure.Failure {
	f := failure.Of(err)
	answer := failure.New(f.Kind, f.Run, err.Error())
	if f.Kind == failure.Unavailable {
		return answer.WithRetry(callRetryDelay)
	}
	return answer
}

func encodeOr(form any) ([]byte, *failure.Failure) {
	body, err := api.Encode(form)
	return body, failure.Of(err)
}
