/*
 * The dispatch protocol: entries, agents, the connections between them,
 * callers and clocks. The transitions come from the charts (gen/); this file
 * holds their guards and actions, the messages, the faults and the properties.
 *
 * Every step of a process is one indivisible d_step: one message or timer in,
 * all effects out, as in the code. A process that is paused takes no step;
 * since any process may be passed over for any number of steps, each pause is
 * covered. Variables marked hidden are scratch space within one step.
 *
 * Only the first incarnation of an entry owns jobs: a job's id names its owner.
 */

/* Sizes and budgets of faults; a model sets them with -D. */
#ifndef ENTRIES
#define ENTRIES 1
#endif
#ifndef AGENTS
#define AGENTS 1
#endif
#ifndef JOBS
#define JOBS 1
#endif
#ifndef TASKS        /* tasks of each job, 1 or 2 */
#define TASKS 1
#endif
#ifndef ATTEMPTS     /* grants of one task */
#define ATTEMPTS 2
#endif
#ifndef BREAKS       /* of each connection pair */
#define BREAKS 1
#endif
#ifndef ENTRY_CRASHES /* of each entry, 0 or 1 */
#define ENTRY_CRASHES 0
#endif
#ifndef AGENT_CRASHES /* of each agent, 0 or 1 */
#define AGENT_CRASHES 0
#endif
#ifndef STOPS        /* planned stops of each agent, 0 or 1 */
#define STOPS 0
#endif
#ifndef CANCELS      /* of each job */
#define CANCELS 0
#endif
#ifndef SUBMITS      /* submissions of each job, first one included */
#define SUBMITS 1
#endif
#ifndef REVOKES      /* of each agent */
#define REVOKES 0
#endif
#ifndef SHEDS        /* 1: the queue may shed jobs and refuse submissions */
#define SHEDS 0
#endif
#ifndef DIALS        /* failed dials on each pair; set to cover dialing apart */
#define DIALS 0
#endif
#ifndef LIMITS       /* 1: a task may reach its time limit */
#define LIMITS 0
#endif
#ifndef ERRORS       /* 1: tasks may fail */
#define ERRORS 0
#endif

#define NONE 255
#define PAIRS (ENTRIES * AGENTS)
#define ALL_TASKS (JOBS * TASKS)
#define GRANTS (ALL_TASKS * ATTEMPTS)
#define IDENTITIES 8  /* of one life of an agent on one pair */
#define MESSAGES 7    /* in flight one way on one pair */

#define entry_of(p) ((p) / AGENTS)
#define agent_of(p) ((p) % AGENTS)
#define pair_of(e, a) ((e) * AGENTS + (a))
#define life_of(identity) ((identity) / IDENTITIES)
#define owner_of(j) ((j) % ENTRIES)
#define job_of(t) ((t) / TASKS)
#define task_of(g) ((g) / ATTEMPTS)
#define grant_of(t, attempt) ((t) * ATTEMPTS + (attempt) - 1)

/* Properties. A violated one is named in the checker's error. With PROPERTY
 * set, only that one is checked. */
#ifdef PROPERTY
#define CHECKED 0
#else
#define CHECKED 1
#endif
#define check(property, condition) assert((condition) || !property)
hidden byte starts_at_most_once = CHECKED;
hidden byte answer_is_whole = CHECKED;
hidden byte result_of_own_job = CHECKED;
hidden byte one_answer = CHECKED;
hidden byte not_run_is_true = CHECKED;
hidden byte no_start_after_leaving = CHECKED;
hidden byte stop_is_graceful = CHECKED;
hidden byte credit_is_backed = CHECKED;
hidden byte everything_ends = CHECKED;

/* What happened, for the properties. */
bit started[ALL_TASKS];
bit executing[ALL_TASKS];
bit said_complete[JOBS];
bit said_failed[JOBS];
bit said_not_run[JOBS];
bit said_leaving[AGENTS];

/* Entries. */
byte incarnation[ENTRIES];
byte job_state[JOBS];
bit accepted[JOBS];            /* the tasks are known */
byte task_state[ALL_TASKS];
byte task_attempt[ALL_TASKS];
byte task_agent[ALL_TASKS];
byte task_result[ALL_TASKS];
byte session_state[PAIRS];
byte session_identity[PAIRS];
byte session_link[PAIRS];     /* connection in use; 0 is none */
byte session_latest[PAIRS];   /* last connection in use */
short credits[PAIRS];         /* below 0 while a revocation crosses a grant */

/* Agents. */
byte link_state[PAIRS];
byte link_entry[PAIRS];       /* incarnation of the entry */
byte link_identity[PAIRS];    /* incarnation that the hello carries */
bit link_grace[PAIRS];        /* the grace period runs */
byte slot_state[AGENTS];
byte slot_entry[AGENTS];
byte run_state[GRANTS];
byte run_agent[GRANTS];
bit run_errored[GRANTS];
byte drain_state[AGENTS];
#define run_none 15

/* Connections. The number of a connection is its place in the order of dials. */
byte connection[PAIRS];
bit whole[PAIRS];
mtype = { hello, result, errored, refusal, offer, revoke, leaving,
          welcome, grant, cancel, acknowledge };
/* kind, connection, held grants or grant, identity, leaving */
chan up[PAIRS] = [MESSAGES] of { mtype, byte, byte, byte, bit };
/* kind, incarnation or grant */
chan down[PAIRS] = [MESSAGES] of { mtype, byte };

/* Callers and clocks. */
chan ask[ENTRIES] = [JOBS * SUBMITS] of { byte };
bit expired[JOBS];      /* the owner's clock is past the expiry */
bit margin_over[JOBS];  /* so is every clock */

/* Scratch space of one step. */
hidden mtype kind;
hidden byte number, argument, identity, held, payload, offered_to, welcomed;
hidden byte flag, admits, resuming;
hidden byte i, k, n, s;

/* ---- Rules that a broken variant may replace ---- */

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

/* ---- Guards and one-line actions of the charts; the longer actions are inlines below ---- */

/* job */
#define job_if_admitted(j) admits
#define job_if_all_done(j) each_task(is_done, j)
#define job_if_untouched(j) each_task(is_untouched, j)
#define job_do_accept(j) accepted[j] = 1
#define job_do_answer_complete(j) say_complete(j)
#define job_do_fail_by_task(j) say_failed(j, 0)
#define job_do_fail_refused(j) say_failed(j, 1)
#define job_do_fail_shed(j) say_failed(j, 1)
#define job_do_fail_cancelled(j) say_failed(j, job_if_untouched(j))
#define job_do_fail_expired(j) say_failed(j, job_if_untouched(j))

/* task */
#define task_do_bind_grant(t) task_attempt[t]++
#define task_do_leave_queue(t) skip
#define task_do_release_grant(t) task_agent[t] = NONE
#define task_do_requeue(t) skip
#define task_do_keep_result(t) task_result[t] = payload
#define task_do_record_failure(t) skip
#define task_do_record_loss(t) skip
#define task_do_send_cancel(t) send_down(pair_of(owner_of(job_of(t)), task_agent[t]), cancel, grant_of(t, task_attempt[t]))

/* session */
#define session_do_drop_credits(p) credits[p] = 0
#define session_do_start_grace(p) skip

/* link */
#define link_if_same_incarnation(p) (link_entry[p] == welcomed)
#define link_do_dial(p) skip
#define link_do_schedule_retry(p) skip
#define link_do_close(p) end_connection(p)
#define link_do_start_grace(p) link_grace[p] = 1
#define link_do_renew_identity(p) link_identity[p]++

/* slot */
#define slot_if_leaving(a) (drain_state[a] != drain_serving)
#define slot_do_assign(a) slot_entry[a] = offered_to
#define slot_do_withdraw(a) slot_entry[a] = NONE
#define slot_do_occupy(a) slot_entry[a] = NONE
#define slot_do_vacate(a) skip

/* run */
#define run_if_may_start(g) (agent_takes_grants(run_agent[g]) && slot_state[run_agent[g]] == slot_offered && slot_entry[run_agent[g]] == owner_of(job_of(task_of(g))))
#define run_do_refuse(g) send_up(run_pair(g), refusal, g, 0)
#define run_do_free_slot(g) slot_fire(run_agent[g], release)
#define run_do_keep_result(g) skip
#define run_do_stop_task(g) skip
#define run_do_mark_limit(g) skip
#define run_do_forget_result(g) run_errored[g] = 0

#include "gen/drain.pml"
#include "gen/task.pml"
#include "gen/job.pml"
#include "gen/session.pml"
#include "gen/slot.pml"
#include "gen/run.pml"
#include "gen/link.pml"

/* ---- Answers ---- */

inline say_complete(j) {
  check(one_answer, !said_failed[j]);
  check(answer_is_whole, each_task(is_done, j));
  check(result_of_own_job, each_task(is_own, j));
  said_complete[j] = 1
}

/* After the expiry, or after the owner's end, failed may follow complete: the
 * answer was given up. The reverse is never allowed. */
inline say_failed(j, not_run) {
  check(one_answer, !said_complete[j] || expired[j] || incarnation[owner_of(j)] != 0);
  check(not_run_is_true, !(not_run) || each_task(is_unstarted, j));
  said_failed[j] = 1;
  said_not_run[j] = said_not_run[j] || (not_run)
}

/* ---- Chart job ---- */

inline job_do_stop_tasks(j) {
  for (s : (j) * TASKS .. (j) * TASKS + TASKS - 1) {
    task_fire(s, job_over)
  }
}

/* ---- Chart task ---- */

/* Tells the job what its task became. */
inline task_follow(t) {
  if
  :: task_state[t] == task_done -> job_fire(job_of(t), task_done)
  :: task_state[t] == task_failed -> job_fire(job_of(t), task_failed)
  :: else -> skip
  fi
}

/* ---- Chart session ---- */

#define held_by(t, p) (owner_of(job_of(t)) == entry_of(p) && task_agent[t] == agent_of(p))
inline session_do_suspend_grants(p) {
  for (k : 0 .. ALL_TASKS - 1) {
    if
    :: held_by(k, p) -> task_fire(k, link_lost)
    :: else -> skip
    fi
  }
}
inline session_do_lose_grants(p) {
  for (k : 0 .. ALL_TASKS - 1) {
    if
    :: held_by(k, p) ->
       task_fire(k, agent_gone);
       task_follow(k)
    :: else -> skip
    fi
  }
}
inline session_do_reconcile(p) {
  for (k : 0 .. ALL_TASKS - 1) {
    if
    :: held_by(k, p) && (held & (1 << grant_of(k, task_attempt[k]))) -> task_fire(k, listed)
    :: held_by(k, p) && !(held & (1 << grant_of(k, task_attempt[k]))) -> task_fire(k, unlisted)
    :: else -> skip
    fi
  }
}

/* ---- Chart link ---- */

#define belongs(g, p) (run_state[g] != run_none && run_agent[g] == agent_of(p) && owner_of(job_of(task_of(g))) == entry_of(p))
inline link_do_send_hello(p) {
  held = 0;
  for (k : 0 .. GRANTS - 1) {
    if
    :: belongs(k, p) && (run_state[k] == run_running || run_state[k] == run_stopping || run_state[k] == run_finished) ->
       held = held | (1 << k)
    :: else -> skip
    fi
  }
  send_up(p, hello, held, drain_state[agent_of(p)] != drain_serving);
  said_leaving[agent_of(p)] = said_leaving[agent_of(p)] || drain_state[agent_of(p)] != drain_serving
}
inline link_do_resume_runs(p) {
  link_grace[p] = 0;
  resuming = 1;
  for (k : 0 .. GRANTS - 1) {
    if
    :: belongs(k, p) -> run_fire(k, resumed)
    :: else -> skip
    fi
  }
  resuming = 0
}
inline link_do_abandon_runs(p) {
  for (k : 0 .. GRANTS - 1) {
    if
    :: belongs(k, p) -> run_fire(k, entry_gone)
    :: else -> skip
    fi
  }
}
inline link_do_adopt_incarnation(p) {
  link_entry[p] = welcomed;
  link_grace[p] = 0
}
inline link_do_announce(p) {
  if
  :: drain_state[agent_of(p)] != drain_serving ->
     send_up(p, leaving, 0, 0);
     said_leaving[agent_of(p)] = 1
  :: else -> skip
  fi
}
inline link_do_withdraw_credits(p) {
  if
  :: slot_entry[agent_of(p)] == entry_of(p) -> slot_fire(agent_of(p), link_lost)
  :: else -> skip
  fi
}

/* ---- Chart slot; each agent has one ---- */

/* ---- Chart run ---- */

inline run_do_start(g) {
  check(starts_at_most_once, !started[task_of(g)]);
  check(not_run_is_true, !said_not_run[job_of(task_of(g))]);
  check(no_start_after_leaving, !said_leaving[run_agent[g]]);
  started[task_of(g)] = 1;
  executing[task_of(g)] = 1;
  slot_fire(run_agent[g], start)
}
inline run_do_send_result(g) {
  if
  :: link_state[run_pair(g)] != link_up && !resuming -> skip
  :: else ->
     if
     :: run_errored[g] -> send_up(run_pair(g), errored, g, 0)
     :: else -> send_up(run_pair(g), result, g, 0)
     fi
  fi
}

/* ---- Chart drain, of an agent ---- */

inline drain_do_announce(a) {
  slot_fire(a, leave);
  for (n : 0 .. ENTRIES - 1) {
    if
    :: link_state[pair_of(n, a)] == link_up ->
       send_up(pair_of(n, a), leaving, 0, 0);
       said_leaving[a] = 1
    :: else -> skip
    fi
  }
}
inline drain_do_finish(a) {
  for (n : 0 .. GRANTS - 1) {
    if
    :: run_state[n] != run_none && run_agent[n] == a ->
       check(stop_is_graceful, !(executing[task_of(n)] && run_state[n] != run_refused));
       check(stop_is_graceful, run_state[n] != run_finished)
    :: else -> skip
    fi
  }
}

/* ---- Connections ---- */

inline send_up(p, what, content, is_leaving) {
  if
  :: whole[p] ->
     assert(nfull(up[p]));
     up[p]!what, connection[p], content, link_identity[p], is_leaving
  :: else -> skip
  fi
}
inline send_down(p, what, content) {
  if
  :: whole[p] && session_link[p] == connection[p] ->
     assert(nfull(down[p]));
     down[p]!what, content
  :: else -> skip
  fi
}
inline end_connection(p) { whole[p] = 0 }

inline discard_input(p) {
  if
  :: agent_discards_input(p) ->
     do
     :: nempty(down[p]) -> down[p]?kind, argument
     :: empty(down[p]) -> break
     od;
     skip
  :: else -> skip
  fi
}

/* Loses what is under way on connections up to the given one. */
inline lose_up(p, last) {
  do
  :: nempty(up[p]) ->
     up[p]?<kind, number, argument, identity, flag>;
     if
     :: number <= last -> up[p]?kind, number, argument, identity, flag
     :: number > last -> break
     fi
  :: empty(up[p]) -> break
  od;
  skip
}

/* ---- Processes: an entry ---- */

inline expire_due(e) {
  for (n : 0 .. JOBS - 1) {
    if
    :: owner_of(n) == e && entry_owns(n) && entry_fires_due_expiry(n) -> job_fire(n, expire)
    :: else -> skip
    fi
  }
}

inline open_session(p) {
  session_state[p] = session_initial;
  session_identity[p] = identity;
  credits[p] = 0
}

inline handle_hello(p) {
  held = argument;
  if
  :: number < session_latest[p] -> end_connection(p)
  :: else -> skip
  fi;
  session_link[p] = number;
  session_latest[p] = number;
  send_down(p, welcome, incarnation[entry_of(p)]);
  if
  :: session_identity[p] == NONE || session_state[p] == session_gone -> open_session(p)
  :: session_identity[p] == identity && session_state[p] != session_gone -> session_fire(p, hello)
  :: else ->
     session_fire(p, replaced);
     open_session(p)
  fi;
  if
  :: flag -> session_fire(p, left)
  :: else -> skip
  fi
}

inline handle_end(p) {
  n = task_of_result(p, argument);
  if
  :: n != NONE && is_current(n, grant_of_result(p, argument), p) ->
     payload = task_of(argument);
     if
     :: kind == result -> task_fire(n, succeeded)
     :: else -> task_fire(n, errored)
     fi;
     task_follow(n)
  :: else -> skip
  fi;
  if
  :: entry_acknowledges(argument) -> send_down(p, acknowledge, argument)
  :: else -> skip
  fi
}

inline handle_refusal(p) {
  credits[p]++;
  n = task_of(argument);
  if
  :: is_current(n, argument, p) -> task_fire(n, refused)
  :: else -> skip
  fi
}

inline handle_message(p) {
  if
  :: kind == result || kind == errored -> handle_end(p)
  :: kind == refusal -> handle_refusal(p)
  :: kind == offer ->
     credits[p]++;
     check(credit_is_backed, credits[p] <= 1)
  :: kind == revoke -> entry_takes_back_credit(p)
  :: kind == leaving -> session_fire(p, left)
  fi
}

/* An entry's side of the connections of one agent. */
proctype EntrySession(byte p) {
end:
  do
  /* The next message of the connection in use. */
  :: d_step {
       up[p]??kind, eval(session_link[p]), argument, identity, flag ->
       expire_due(entry_of(p));
       handle_message(p)
     }
  /* The oldest message; one of a connection that isn't in use is ignored,
   * unless it opens one. */
  :: d_step {
       up[p]?kind, number, argument, identity, flag ->
       expire_due(entry_of(p));
       if
       :: kind == hello && entry_accepts_hello(p) -> handle_hello(p)
       :: kind != hello && number == session_link[p] -> handle_message(p)
       :: else -> skip
       fi;
       number = 0
     }
  /* The hello of the latest connection, before what older ones carry. */
  :: d_step {
       up[p]??hello, eval(connection[p]), argument, identity, flag ->
       number = connection[p];
       expire_due(entry_of(p));
       if
       :: entry_accepts_hello(p) -> handle_hello(p)
       :: else -> skip
       fi
     }
  /* The end of the connection in use, and the loss of what it still carried. */
  :: d_step {
       session_link[p] != 0 && (!whole[p] || session_link[p] != connection[p]) ->
       lose_up(p, session_link[p]);
       session_link[p] = 0;
       expire_due(entry_of(p));
       session_fire(p, link_lost)
     }
  /* The end of a connection whose hello was never handled. */
  :: d_step {
       nempty(up[p]) && !whole[p] && session_link[p] != connection[p] ->
       lose_up(p, connection[p])
     }
  :: d_step {
       session_identity[p] != NONE && session_state[p] == session_lost ->
       expire_due(entry_of(p));
       session_fire(p, grace_over)
     }
  od
}

/* The owner's side of one job. */
proctype EntryJob(byte j) {
end:
  do
  :: d_step {
       entry_owns(j) && expired[j] && !job_is_final(job_state[j]) -> job_fire(j, expire)
     }
#if SHEDS
  :: d_step {
       entry_owns(j) && job_state[j] == job_open && !expired[j] -> job_fire(j, shed)
     }
#endif
  od
}

/* Grants one task to one agent. */
proctype EntryGrant(byte t; byte p) {
end:
  do
  :: d_step {
       entry_owns(job_of(t)) && !expired[job_of(t)] &&
       accepted[job_of(t)] && task_state[t] == task_waiting &&
       session_identity[p] != NONE && session_state[p] == session_up &&
       credits[p] > 0 && task_attempt[t] < ATTEMPTS ->
       credits[p]--;
       task_agent[t] = agent_of(p);
       task_fire(t, grant);
       send_down(p, grant, grant_of(t, task_attempt[t]))
     }
  od
}

/* Answers a submission at its owner. */
inline answer_as_owner(j) {
  expire_due(owner_of(j));
  if
  :: job_state[j] == job_complete && !expired[j] -> say_complete(j)
  :: job_state[j] == job_complete && expired[j] -> say_failed(j, 0)
  :: job_state[j] == job_failed -> skip
  :: else ->
     job_fire(j, submit);
     if
     :: job_state[j] == job_created -> say_failed(j, 1) /* refused */
     :: else -> skip
     fi
  fi
}

inline forward(e, j) {
  if
  :: e != owner_of(j) -> ask[owner_of(j)]!j
  :: e == owner_of(j) -> skip
  fi
}

/* Answers a submission at an entry that isn't its owner, or forwards it. */
inline answer_as_other(e, j) {
  if
  :: other_says_failed(j) -> say_failed(j, 0)
  :: else -> forward(e, j)
  fi
}

inline answer(e) {
  if
  :: owner_of(n) == e && entry_owns(n) ->
     i = n;
     answer_as_owner(i)
  :: else ->
     i = n;
     answer_as_other(e, i)
  fi
}

proctype EntryCallers(byte e) {
end:
  do
  :: d_step { ask[e]?n -> admits = 1; answer(e) }
#if SHEDS
  :: d_step { ask[e]?n -> admits = 0; answer(e) }
#endif
#if ENTRIES > 1
  :: d_step { ask[e]?n -> skip } /* lost on the way, or unavailable */
#endif
  od
}

#if ENTRY_CRASHES
/* An entry dies and another process takes its address. Its jobs are gone; their
 * variables get fixed values, because nobody reads them any more. */
proctype EntryCrash(byte e) {
  d_step {
    incarnation[e] = 1;
    for (n : 0 .. JOBS - 1) {
      if
      :: owner_of(n) == e ->
         job_state[n] = job_initial;
         accepted[n] = 0;
         for (k : n * TASKS .. n * TASKS + TASKS - 1) {
           task_state[k] = task_initial;
           task_attempt[k] = 0;
           task_agent[k] = NONE;
           task_result[k] = NONE
         }
      :: else -> skip
      fi
    }
    for (n : e * AGENTS .. e * AGENTS + AGENTS - 1) {
      session_state[n] = session_initial;
      session_identity[n] = NONE;
      session_link[n] = 0;
      session_latest[n] = 0;
      credits[n] = 0;
      end_connection(n);
      lose_up(n, NONE)
    }
    do
    :: nempty(ask[e]) -> ask[e]?n
    :: empty(ask[e]) -> break
    od;
    skip
  }
}
#endif

/* ---- Processes: an agent ---- */

inline handle_grant(p) {
  run_agent[argument] = agent_of(p);
  run_state[argument] = run_initial;
  run_fire(argument, decide)
}

inline handle_order(p) {
  if
  :: kind == welcome ->
     welcomed = argument;
     link_fire(p, welcomed)
  :: kind == grant && link_state[p] == link_up -> handle_grant(p)
  :: kind == cancel && belongs(argument, p) -> run_fire(argument, stop)
  :: kind == acknowledge && belongs(argument, p) -> run_fire(argument, acked)
  :: else -> skip
  fi
}

inline connect(p) {
  connection[p]++;
  whole[p] = 1;
  link_fire(p, connected)
}

/* The agent's side of its connection to one entry. */
proctype AgentLink(byte p) {
#if DIALS
  byte failures = DIALS;
end:
  do
  :: d_step { link_state[p] == link_waiting && agent_dials(p) -> link_fire(p, retry) }
  :: d_step { link_state[p] == link_dialing && failures > 0 -> failures--; link_fire(p, broken) }
  :: d_step { link_state[p] == link_dialing -> connect(p) }
#else
end:
  do
  :: d_step {
       link_state[p] == link_waiting && agent_dials(p) ->
       link_fire(p, retry);
       connect(p)
     }
#endif
  :: d_step {
       (link_state[p] == link_greeting || link_state[p] == link_up) && down[p]?[kind, argument] ->
       down[p]?kind, argument;
       handle_order(p)
     }
  :: d_step {
       (link_state[p] == link_greeting || link_state[p] == link_up) && !whole[p] ->
       discard_input(p);
       link_fire(p, broken)
     }
  :: d_step {
       link_grace[p] ->
       link_grace[p] = 0;
       link_fire(p, grace_over)
     }
  :: d_step {
       link_state[p] == link_up && slot_state[agent_of(p)] == slot_free && drain_state[agent_of(p)] == drain_serving ->
       offered_to = entry_of(p);
       slot_fire(agent_of(p), offer);
       send_up(p, offer, 0, 0)
     }
  od
}

#if REVOKES
proctype AgentRevoke(byte a) {
  byte left = REVOKES;
end:
  do
  :: d_step {
       left > 0 && slot_state[a] == slot_offered ->
       left--;
       n = slot_entry[a];
       slot_fire(a, revoke);
       send_up(pair_of(n, a), revoke, 0, 0)
     }
  od
}
#endif

/* The end of a task at the endpoint. */
proctype AgentRun(byte g) {
end:
  do
  :: d_step {
       run_state[g] == run_running ->
       executing[task_of(g)] = 0;
       run_fire(g, exited)
     }
  :: d_step {
#if ERRORS
       (run_state[g] == run_running || run_state[g] == run_stopping || run_state[g] == run_orphaned) ->
#else
       (run_state[g] == run_stopping || run_state[g] == run_orphaned) ->
#endif
       executing[task_of(g)] = 0;
       run_errored[g] = (run_state[g] != run_orphaned);
       run_fire(g, exited)
     }
#if LIMITS
  :: d_step { run_state[g] == run_running -> run_fire(g, limit) }
#endif
  od
}

#if STOPS
proctype AgentStop(byte a) {
  d_step { drain_fire(a, stop) };
end:
  do
  :: d_step {
       drain_state[a] == drain_leaving && agent_has_no_work(a) -> drain_fire(a, idle);
       for (n : 0 .. ENTRIES - 1) {
         end_connection(pair_of(n, a))
       };
       skip
     }
  od
}
#endif

#if AGENT_CRASHES
/* An agent dies and another process takes its place. */
proctype AgentCrash(byte a) {
  d_step {
    for (n : 0 .. GRANTS - 1) {
      if
      :: run_state[n] != run_none && run_agent[n] == a ->
         executing[task_of(n)] = 0;
         run_state[n] = run_none;
         run_errored[n] = 0
      :: else -> skip
      fi
    }
    for (n : 0 .. ENTRIES - 1) {
      link_state[pair_of(n, a)] = link_initial;
      link_entry[pair_of(n, a)] = NONE;
      link_identity[pair_of(n, a)] = IDENTITIES;
      link_grace[pair_of(n, a)] = 0;
      end_connection(pair_of(n, a));
      discard_input(pair_of(n, a))
    }
    slot_state[a] = slot_initial;
    slot_entry[a] = NONE;
    drain_state[a] = drain_initial;
    said_leaving[a] = 0
  }
}
#endif

/* ---- Processes: the surroundings ---- */

proctype Network(byte p) {
  byte left = BREAKS;
end:
  do
  :: d_step { left > 0 && whole[p] -> left--; end_connection(p) }
#if DIALS
  /* Nothing arrives for so long that the agent gives the connection up. */
  :: d_step {
       left > 0 && whole[p] && (link_state[p] == link_greeting || link_state[p] == link_up) ->
       left--;
       discard_input(p);
       link_fire(p, silent)
     }
#endif
  od
}

/* A caller submits again, through any entry, as long as it may. */
proctype Caller(byte j) {
  byte left = SUBMITS;
end:
  do
  :: d_step { left > 0 -> left--; ask[0]!j }
#if ENTRIES > 1
  :: d_step { left > 0 -> left--; ask[1]!j }
#endif
  od
}

#if CANCELS
proctype Cancellation(byte j) {
  d_step {
    if
    :: entry_owns(j) ->
       expire_due(owner_of(j));
       job_fire(j, cancel)
    :: else -> skip
    fi
  }
}
#endif

proctype Clock(byte j) {
  d_step { expired[j] = 1 };
  d_step { margin_over[j] = 1 }
}

/* When nothing more can happen, every job, task and run has ended. */
proctype Monitor() {
end:
  timeout ->
  d_step {
    for (n : 0 .. JOBS - 1) {
      check(everything_ends, !entry_owns(n) || job_is_final(job_state[n]))
    }
    for (n : 0 .. ALL_TASKS - 1) {
      check(everything_ends, !entry_owns(job_of(n)) || !accepted[job_of(n)] || task_is_final(task_state[n]));
      check(everything_ends, !executing[n])
    }
    for (n : 0 .. GRANTS - 1) {
      check(everything_ends, run_state[n] == run_none || run_is_final(run_state[n]))
    }
  }
}

inline prepare() {
#ifdef PROPERTY
  PROPERTY = 1;
#endif
  for (n : 0 .. JOBS - 1) {
    job_state[n] = job_initial
  }
  for (n : 0 .. ALL_TASKS - 1) {
    task_state[n] = task_initial;
    task_agent[n] = NONE;
    task_result[n] = NONE
  }
  for (n : 0 .. GRANTS - 1) {
    run_state[n] = run_none
  }
  for (n : 0 .. PAIRS - 1) {
    session_state[n] = session_initial;
    session_identity[n] = NONE;
    link_state[n] = link_initial;
    link_entry[n] = NONE
  }
  for (n : 0 .. AGENTS - 1) {
    slot_state[n] = slot_initial;
    slot_entry[n] = NONE;
    drain_state[n] = drain_initial
  }
}

init {
  byte x, y;
  atomic {
    d_step { prepare() };
    for (x : 0 .. PAIRS - 1) {
      run EntrySession(x);
      run AgentLink(x);
      run Network(x)
    }
    for (x : 0 .. JOBS - 1) {
      run EntryJob(x);
      run Caller(x);
      run Clock(x)
    }
    for (x : 0 .. ALL_TASKS - 1) {
      for (y : 0 .. AGENTS - 1) {
        run EntryGrant(x, pair_of(owner_of(job_of(x)), y))
      }
    }
    for (x : 0 .. GRANTS - 1) {
      run AgentRun(x)
    }
    for (x : 0 .. ENTRIES - 1) {
      run EntryCallers(x)
    }
#if ENTRY_CRASHES
    run EntryCrash(0);
#endif
    for (x : 0 .. AGENTS - 1) {
#if REVOKES
      run AgentRevoke(x);
#endif
#if STOPS
      run AgentStop(x);
#endif
#if AGENT_CRASHES
      run AgentCrash(x);
#endif
      skip
    }
#if CANCELS
    for (x : 0 .. JOBS - 1) {
      run Cancellation(x)
    }
#endif
    run Monitor();
    x = 0;
    y = 0
  }
}
