// Package cactuspost is the callers' library: it submits jobs of many short
// tasks over HTTP and awaits their answers.
//
// A job is submitted in two steps. NewTickets asks for ids, many at a time, and
// starts nothing. Submit sends a job's tasks under such an id. Sending the same
// tasks to the same id again is idempotent: no task of a submission starts
// twice. The library therefore repeats a request whose answer was lost; a
// caller that lost the answer itself uses Resubmit with the ticket's id. An id
// ends with its lifetime, and so do the retries.
//
// Every error is a *Failure. Its Run is a promise: NotRun means that no task of
// the job has started, and none will unless the job is submitted again.
//
// A Client has one goroutine, which owns the retry budget that its calls share.
// Each call follows the chart charts/call.jsonc.
package cactuspost
