/* Processes of the agents. */

inline handle_grant(p) {
  run_agent[argument] = agent_of(p);
  run_state[argument] = run_initial;
  run_fire(argument, decide)
}

inline handle_entry_message(p) {
  if
  :: kind == welcome ->
     welcomed = argument;
     link_fire(p, welcomed)
  :: kind == grant && link_state[p] == link_up -> handle_grant(p)
  :: kind == cancel && run_belongs_to(argument, p) -> run_fire(argument, stop)
  :: kind == acknowledge && run_belongs_to(argument, p) -> run_fire(argument, acked)
  :: else -> skip
  fi
}

inline connect(p) {
  connection[p]++;
  connection_open[p] = 1;
  link_fire(p, connected)
}

/* The agent's side of the connection to one entry. */
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
       handle_entry_message(p)
     }
  :: d_step {
       (link_state[p] == link_greeting || link_state[p] == link_up) && !connection_open[p] ->
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

/* The task of one grant ends at the endpoint, or reaches its time limit. */
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
       drain_state[a] == drain_leaving && agent_has_no_open_run(a) -> drain_fire(a, idle);
       for (n : 0 .. ENTRIES - 1) {
         end_connection(pair_of(n, a))
       };
       skip
     }
  od
}
#endif

#if AGENT_CRASHES
/* The agent's process dies, and a new one replaces it. */
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
    announced_leaving[a] = 0
  }
}
#endif
