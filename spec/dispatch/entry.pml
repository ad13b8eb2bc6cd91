/* Processes of the entries. */

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
  :: connection_number < session_latest[p] -> end_connection(p)
  :: else -> skip
  fi;
  session_link[p] = connection_number;
  session_latest[p] = connection_number;
  send_down(p, welcome, incarnation[entry_of(p)]);
  if
  :: session_identity[p] == NONE || session_state[p] == session_gone -> open_session(p)
  :: session_identity[p] == identity && session_state[p] != session_gone -> session_fire(p, hello)
  :: else ->
     session_fire(p, replaced);
     open_session(p)
  fi;
  if
  :: leaving_flag -> session_fire(p, left)
  :: else -> skip
  fi
}

inline handle_result(p) {
  n = task_of_result(p, argument);
  if
  :: n != NONE && is_current_grant(n, grant_of_result(p, argument), p) ->
     payload = task_of(argument);
     if
     :: kind == result -> task_fire(n, succeeded)
     :: else -> task_fire(n, errored)
     fi;
     report_task_end(n)
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
  :: is_current_grant(n, argument, p) -> task_fire(n, refused)
  :: else -> skip
  fi
}

inline handle_agent_message(p) {
  if
  :: kind == result || kind == errored -> handle_result(p)
  :: kind == refusal -> handle_refusal(p)
  :: kind == offer ->
     credits[p]++;
     check(credit_is_backed, credits[p] <= 1)
  :: kind == revoke -> entry_applies_revocation(p)
  :: kind == leaving -> session_fire(p, left)
  fi
}

/* The entry's side of the connections from one agent. */
proctype EntrySession(byte p) {
end:
  do
  /* The next message on the current connection. */
  :: d_step {
       up[p]??kind, eval(session_link[p]), argument, identity, leaving_flag ->
       expire_due(entry_of(p));
       handle_agent_message(p)
     }
  /* The oldest message on any connection. Unless it is a hello, it is ignored
   * if it did not arrive on the current connection. */
  :: d_step {
       up[p]?kind, connection_number, argument, identity, leaving_flag ->
       expire_due(entry_of(p));
       if
       :: kind == hello && entry_accepts_hello(p) -> handle_hello(p)
       :: kind != hello && connection_number == session_link[p] -> handle_agent_message(p)
       :: else -> skip
       fi;
       connection_number = 0
     }
  /* The hello of the latest connection, ahead of messages on older ones. */
  :: d_step {
       up[p]??hello, eval(connection[p]), argument, identity, leaving_flag ->
       connection_number = connection[p];
       expire_due(entry_of(p));
       if
       :: entry_accepts_hello(p) -> handle_hello(p)
       :: else -> skip
       fi
     }
  /* The current connection ends, and its undelivered messages are lost. */
  :: d_step {
       session_link[p] != 0 && (!connection_open[p] || session_link[p] != connection[p]) ->
       drop_upstream(p, session_link[p]);
       session_link[p] = 0;
       expire_due(entry_of(p));
       session_fire(p, link_lost)
     }
  /* A connection ends before its hello was handled. */
  :: d_step {
       nempty(up[p]) && !connection_open[p] && session_link[p] != connection[p] ->
       drop_upstream(p, connection[p])
     }
  :: d_step {
       session_identity[p] != NONE && session_state[p] == session_lost ->
       expire_due(entry_of(p));
       session_fire(p, grace_over)
     }
  od
}

/* Expiry and shedding of one job at its owner. */
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
  :: job_state[j] == job_complete && !expired[j] -> answer_complete(j)
  :: job_state[j] == job_complete && expired[j] -> answer_failed(j, 0)
  :: job_state[j] == job_failed -> skip
  :: else ->
     job_fire(j, submit);
     if
     :: job_state[j] == job_created -> answer_failed(j, 1) /* submission refused */
     :: else -> skip
     fi
  fi
}

inline forward(e, j) {
  if
  :: e != owner_of(j) -> submissions[owner_of(j)]!j
  :: e == owner_of(j) -> skip
  fi
}

/* Answers a submission at an entry that does not own the job, or forwards it to
 * the owner. */
inline answer_as_other(e, j) {
  if
  :: other_entry_answers_failed(j) -> answer_failed(j, 0)
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
  :: d_step { submissions[e]?n -> queue_admits = 1; answer(e) }
#if SHEDS
  :: d_step { submissions[e]?n -> queue_admits = 0; answer(e) }
#endif
#if ENTRIES > 1
  :: d_step { submissions[e]?n -> skip } /* lost in transit, or answered as unavailable */
#endif
  od
}

#if ENTRY_CRASHES
/* The entry's process dies, and a new one takes over its address. Its jobs are
 * lost; their variables are reset, since nothing reads them any more and other
 * values would only add states. */
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
      drop_upstream(n, NONE)
    }
    do
    :: nempty(submissions[e]) -> submissions[e]?n
    :: empty(submissions[e]) -> break
    od;
    skip
  }
}
#endif
