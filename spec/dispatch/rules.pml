/* Rules that a broken variant may replace. */

/* An agent's connections reach the entry on different sockets: a hello may be
 * handled after that of a later connection of the same life. The hello carries
 * the connection's number, and one with a lower number is ignored. */
#ifndef entry_accepts_hello
#define entry_accepts_hello(p) (life_of(session_identity[p]) != life_of(identity) || number > session_latest[p])
#endif
/* An agent gives up what an ended connection still had in its buffers. */
#ifndef agent_discards_input
#define agent_discards_input(p) true
#endif
/* Due expiries come before any other message. */
#ifndef entry_fires_due_expiry
#define entry_fires_due_expiry(j) (expired[j])
#endif
/* An entry that isn't the owner says failed. */
#ifndef other_says_failed
#define other_says_failed(j) (margin_over[j] || incarnation[owner_of(j)] != 0)
#endif
/* A result counts for the task that its grant names. */
#ifndef task_of_result
#define task_of_result(p, g) task_of(g)
#define grant_of_result(p, g) (g)
#endif
/* An incarnation accepts its own jobs only. */
#ifndef entry_owns
#define entry_owns(j) (incarnation[owner_of(j)] == 0)
#endif
/* Every result is acknowledged, also when nobody needs it any more. */
#ifndef entry_acknowledges
#define entry_acknowledges(g) true
#endif
/* A revocation counts even when the credit was used already: the grant that
 * crosses it either uses a later credit or is refused, which returns one. */
#ifndef entry_takes_back_credit
#define entry_takes_back_credit(p) credits[p]--
#endif
/* A result counts only for a grant that its agent holds. */
#ifndef is_current
#define is_current(t, g, p) (held_by(t, p) && entry_owns(job_of(t)) && grant_of(t, task_attempt[t]) == (g))
#endif
/* An agent dials again whenever a connection has ended. */
#ifndef agent_dials
#define agent_dials(p) (drain_state[agent_of(p)] != drain_ended)
#endif
/* An agent that is leaving takes no grant. */
#ifndef agent_takes_grants
#define agent_takes_grants(a) (drain_state[a] == drain_serving)
#endif
/* A planned stop waits for tasks and for acknowledgements. */
#ifndef run_is_over
#define run_is_over(g) (run_state[g] == run_none || run_is_final(run_state[g]))
#endif
#define agent_is_free_of(g, a) (run_agent[(g) % GRANTS] != (a) || run_is_over((g) % GRANTS))
#define agent_has_no_work(a) (agent_is_free_of(0, a) && agent_is_free_of(1, a) && agent_is_free_of(2, a) && agent_is_free_of(3, a) && agent_is_free_of(4, a) && agent_is_free_of(5, a) && agent_is_free_of(6, a) && agent_is_free_of(7, a))

#if TASKS == 1
#define each_task(condition, j) condition(j)
#else
#define each_task(condition, j) (condition((j) * 2) && condition((j) * 2 + 1))
#endif
#define is_done(t) (task_state[t] == task_done)
#define is_untouched(t) (task_state[t] == task_waiting || task_state[t] == task_dropped)
#define is_own(t) (task_result[t] == (t))
#define is_unstarted(t) (!started[t])

#define run_pair(g) pair_of(owner_of(job_of(task_of(g))), run_agent[g])
