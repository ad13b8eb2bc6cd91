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

// Limits of the operators' requests about release notes.
const (
	// publishTimeout limits one publication or dry run with all its calls to the
	// table.
	publishTimeout = 10 * time.Second
	// readNoteTimeout limits the reading of one note from the table.
	readNoteTimeout = 2 * time.Second
	// notesInboxSize limits the messages that are queued; the senders of further
	// ones block.
	notesInboxSize = 64
	// notesTickInterval is the interval between ticks of the actor.
	notesTickInterval = time.Minute
)

// notesMessage is an input of the notes actor.
type notesMessage interface{ isNotesMessage() }

// setActiveConfig replaces the active configuration by the one read from the
// table.
type setActiveConfig struct{ config *release.ActiveConfig }

// getActiveConfig asks for the active configuration. The answer is nil until it
// has been read for the first time.
type getActiveConfig struct{ answer chan<- *release.ActiveConfig }

func (*setActiveConfig) isNotesMessage() {}
func (*getActiveConfig) isNotesMessage() {}

// notesActor keeps the active configuration as it was last read, so that
// operators can see it while the table is unavailable.
type notesActor struct{ activeConfig *release.ActiveConfig }

// Handle processes one message.
func (a *notesActor) Handle(_ time.Time, m notesMessage) bool {
	switch m := m.(type) {
	case *setActiveConfig:
		a.activeConfig = m.config
	case *getActiveConfig:
		m.answer <- a.activeConfig
	}
	return true
}

// Tick has nothing to do: the actor acts only on messages.
func (a *notesActor) Tick(time.Time) bool { return true }

// Flush has nothing to do.
func (a *notesActor) Flush(time.Time) {}

// notesHandler serves api.NotesPath: it publishes release notes and shows the
// active configuration.
type notesHandler struct {
	inbox   *actor.Inbox[notesMessage]
	store   table.Store
	cluster *cluster
	log     *logging.Logger
}

// notesAnswer is the body of the answer to GET without a revision.
type notesAnswer struct {
	ActiveConfig *release.ActiveConfig      `json:"in_force"`
	Note         *release.Note              `json:"note,omitempty"`
	Instances    []release.InstanceRevision `json:"instances"`
}

// dryRunAnswer is the body of the answer to a dry run.
type dryRunAnswer struct {
	Differences []release.Difference `json:"differences"`
}

// serve handles a request to api.NotesPath; it is an OperatorHandler.
func (n *notesHandler) serve(r OperatorRequest) ([]byte, *failure.Failure) {
	switch {
	case r.Method == http.MethodPost && r.Query[api.DryRunParameter] == "1":
		return n.dryRun(r)
	case r.Method == http.MethodPost:
		return n.publish(r)
	case r.Query[api.RevisionParameter] != "":
		return n.publishedNote(r)
	default:
		return n.currentConfig(r)
	}
}

// publish applies a note. It is idempotent: a client may send the same note again
// when the outcome of the first attempt is unknown.
func (n *notesHandler) publish(r OperatorRequest) ([]byte, *failure.Failure) {
	note, err := release.Parse(r.Body)
	if err != nil {
		return nil, operatorFailure(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	accepted, err := release.Publish(ctx, n.store, note, false, time.Now)
	if err != nil {
		n.logPublishFailure(r, note, err)
		return nil, operatorFailure(err)
	}
	n.log.Event(event.NoteAccepted, zap.String("operator", r.Operator), zap.String("note", note.ID), zap.Uint64("revision", accepted.Revision))
	if r.Text {
		return []byte(acceptedText(accepted)), nil
	}
	return encodeBody(accepted)
}

func (n *notesHandler) logPublishFailure(r OperatorRequest, note *release.Note, err error) {
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

func (n *notesHandler) dryRun(r OperatorRequest) ([]byte, *failure.Failure) {
	note, err := release.Parse(r.Body)
	if err != nil {
		return nil, operatorFailure(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	differences, err := release.DryRun(ctx, n.store, note, false)
	if err != nil {
		return nil, operatorFailure(err)
	}
	if r.Text {
		return []byte(release.RenderDifferences(differences)), nil
	}
	return encodeBody(dryRunAnswer{Differences: differences})
}

// publishedNote returns the note that created a revision, as it was published.
func (n *notesHandler) publishedNote(r OperatorRequest) ([]byte, *failure.Failure) {
	number, err := strconv.ParseUint(r.Query[api.RevisionParameter], 10, 64)
	if err != nil || number == 0 {
		return nil, failure.New(failure.Invalid, failure.NotRun, api.RevisionParameter+" must be a positive integer")
	}
	active, refusal := n.activeConfig(nil)
	if refusal != nil {
		return nil, refusal
	}
	if number > active.Document.Revision {
		return nil, failure.New(failure.Invalid, failure.NotRun, "no release note created this revision")
	}
	published, err := n.readNote(number)
	if err != nil {
		return nil, operatorFailure(err)
	}
	if r.Text {
		return []byte(release.RenderPublished(published)), nil
	}
	return encodeBody(published)
}

func (n *notesHandler) readNote(revision uint64) (*release.PublishedNote, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readNoteTimeout)
	defer cancel()
	found, err := release.ReadNotes(ctx, n.store, revision-1, revision)
	if err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, failure.New(failure.Internal, failure.NotRun, "the table has no release note for this revision")
	}
	return &found[0], nil
}

// currentConfig returns the active configuration, the note that created it, and
// the revision that each instance has.
func (n *notesHandler) currentConfig(r OperatorRequest) ([]byte, *failure.Failure) {
	views, refusal := n.cluster.views()
	if refusal != nil {
		return nil, refusal
	}
	active, refusal := n.activeConfig(views)
	if refusal != nil {
		return nil, refusal
	}
	view := release.View{Config: *active, Instances: instanceRevisions(views), Now: time.Now()}
	if active.Document.Revision > 0 {
		// While the table is unavailable the answer leaves out the note's text.
		if published, err := n.readNote(active.Document.Revision); err == nil {
			view.Note = &published.Note
		}
	}
	if r.Text {
		return []byte(release.RenderNotes(view)), nil
	}
	return encodeBody(notesAnswer{ActiveConfig: active, Note: view.Note, Instances: view.Instances})
}

// activeConfig returns the active configuration as this entry last read it, or
// an empty one if no entry in views has a configuration.
func (n *notesHandler) activeConfig(views []operator.EntryView) (*release.ActiveConfig, *failure.Failure) {
	answer := make(chan *release.ActiveConfig, 1)
	n.inbox.Send(&getActiveConfig{answer: answer})
	var active *release.ActiveConfig
	select {
	case active = <-answer:
	case <-n.inbox.Done():
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry has stopped")
	}
	if active != nil {
		return active, nil
	}
	for _, view := range views {
		if view.Revision > 0 {
			return nil, failure.Newf(failure.Unavailable, failure.NotRun, "revision %d is in force, but this entry has not read its release note yet", view.Revision)
		}
	}
	return &release.ActiveConfig{}, nil
}

// instanceRevisions lists the revision that each entry and each endpoint has. For
// an endpoint it is the highest one that any entry has seen there.
func instanceRevisions(views []operator.EntryView) []release.InstanceRevision {
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

// operatorFailure returns the failure of an error with the error's full text as
// its detail: operators, unlike callers, are shown the causes.
func operatorFailure(err error) *failure.Failure {
	f := failure.Of(err)
	answer := failure.New(f.Kind, f.Run, err.Error())
	if f.Kind == failure.Unavailable {
		return answer.WithRetry(callRetryDelay)
	}
	return answer
}

func encodeBody(value any) ([]byte, *failure.Failure) {
	body, err := api.Encode(value)
	return body, failure.Of(err)
}
