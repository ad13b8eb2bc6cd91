/* Rules that a variant may replace. */

/* An agent's connections reach the entry on different sockets, so a hello may be
 * handled after that of a later connection of the same agent process. The hello
 * carries the connection's number, and a lower number is ignored. */
#ifndef entry_accepts_hello
#define entry_accepts_hello(p) (process_of(session_identity[p]) != process_of(identity) || connection_number > session_latest[p])
#endif
/* An agent discards the unread input of a connection that has ended. */
#ifndef agent_discards_input
#define agent_discards_input(p) true
#endif
/* Due expiries are handled before any other message. */
#ifndef entry_fires_due_expiry
#define entry_fires_due_expiry(j) (expired[j])
#endif
/* An entry other than the owner may answer "failed" only after the expiry plus
 * the clock margin, or once the owner's process was replaced. */
#ifndef other_entry_answers_failed
#define other_entry_answers_failed(j) (margin_passed[j] || incarnation[owner_of(j)] != 0)
#endif
/* A result belongs to the task that its grant names. */
#ifndef task_of_result
#define task_of_result(p, g) task_of(g)
#define grant_of_result(p, g) (g)
#endif
/* An incarnation of an entry accepts only its own jobs. */
#ifndef entry_owns
#define entry_owns(j) (incarnation[owner_of(j)] == 0)
#endif
/* Every result is acknowledged, even if its job no longer needs it. */
#ifndef entry_acknowledges
#define entry_acknowledges(g) true
#endif
/* A revocation lowers the count even if the credit was already used: the grant
 * that crosses the revocation either uses a later credit or is refused, and a
 * refusal returns a credit. */
#ifndef entry_applies_revocation
#define entry_applies_revocation(p) credits[p]--
#endif
/* A result counts only if its grant is the task's latest one and its agent holds
 * that grant. */
#ifndef is_current_grant
#define is_current_grant(t, g, p) (is_granted_to(t, p) && entry_owns(job_of(t)) && grant_of(t, task_attempt[t]) == (g))
#endif
/* An agent redials whenever a connection has ended. */
#ifndef agent_dials
#define agent_dials(p) (drain_state[agent_of(p)] != drain_ended)
#endif
/* An agent that is leaving accepts no grants. */
#ifndef agent_takes_grants
#define agent_takes_grants(a) (drain_state[a] == drain_serving)
#endif
/* A planned stop waits until tasks have ended and results are acknowledged. */
#ifndef run_has_ended
#define run_has_ended(g) (run_state[g] == run_none || run_is_final(run_state[g]))
#endif
/* Promela macros cannot loop, so the grants are listed; there are at most 8. With
 * fewer, the modulo repeats some of them. */
#define has_no_open_run(g, a) (run_agent[(g) % GRANTS] != (a) || run_has_ended((g) % GRANTS))
#define agent_has_no_open_run(a) (has_no_open_run(0, a) && has_no_open_run(1, a) && has_no_open_run(2, a) && has_no_open_run(3, a) && has_no_open_run(4, a) && has_no_open_run(5, a) && has_no_open_run(6, a) && has_no_open_run(7, a))

#if TASKS == 1
#define each_task(condition, j) condition(j)
#else
#define each_task(condition, j) (condition((j) * 2) && condition((j) * 2 + 1))
#endif
#define is_done(t) (task_state[t] == task_done)
#define is_not_granted(t) (task_state[t] == task_waiting || task_state[t] == task_dropped)
#define has_own_result(t) (task_result[t] == (t))
#define is_unstarted(t) (!started[t])

#define run_pair(g) pair_of(owner_of(job_of(task_of(g))), run_agent[g])
