/* Network faults, callers, clocks, the final checks and the initial state. */

proctype Network(byte p) {
  byte left = BREAKS;
end:
  do
  :: d_step { left > 0 && connection_open[p] -> left--; end_connection(p) }
#if DIALS
  /* The agent closes a connection on which it received nothing for too long. */
  :: d_step {
       left > 0 && connection_open[p] && (link_state[p] == link_greeting || link_state[p] == link_up) ->
       left--;
       discard_input(p);
       link_fire(p, silent)
     }
#endif
  od
}

/* A caller submits its job up to SUBMITS times, each time through any entry. */
proctype Caller(byte j) {
  byte left = SUBMITS;
end:
  do
  :: d_step { left > 0 -> left--; submissions[0]!j }
#if ENTRIES > 1
  :: d_step { left > 0 -> left--; submissions[1]!j }
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
  d_step { margin_passed[j] = 1 }
}

/* When no process can take a step, every job, task and run must have ended. */
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

inline initialise() {
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
    d_step { initialise() };
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
