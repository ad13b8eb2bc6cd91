// Package cactuspost is the client library: it submits jobs of many short tasks
// over HTTP and awaits their answers.
//
// A job is submitted in two steps. NewTickets obtains ids, many at a time, and
// starts nothing. Submit sends a job's tasks under such an id. Submitting the same
// tasks under the same id again is idempotent: no task starts twice. The library
// therefore repeats a request whose answer was lost. A caller that itself lost the
// answer, for example in a restart, uses Resubmit with the ticket's id. An id
// expires at the end of its lifetime, and retries end with it.
//
// Every error is a *Failure. Its field Run is a guarantee: NotRun means that no
// task of the job has started, and none will unless the job is submitted again.
//
// A Client runs one goroutine, which owns the retry budget that its calls share.
// Each call is a state machine, defined in charts/call.jsonc.
package cactuspost
