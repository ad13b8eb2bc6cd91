/* Actions of the charts link, run and drain. Each agent has one slot. */

/* Chart link. */

#define run_belongs_to(g, p) (run_state[g] != run_none && run_agent[g] == agent_of(p) && owner_of(job_of(task_of(g))) == entry_of(p))
inline link_do_send_hello(p) {
  held = 0;
  for (k : 0 .. GRANTS - 1) {
    if
    :: run_belongs_to(k, p) && (run_state[k] == run_running || run_state[k] == run_stopping || run_state[k] == run_finished) ->
       held = held | (1 << k)
    :: else -> skip
    fi
  }
  send_up(p, hello, held, drain_state[agent_of(p)] != drain_serving);
  announced_leaving[agent_of(p)] = announced_leaving[agent_of(p)] || drain_state[agent_of(p)] != drain_serving
}
inline link_do_resume_runs(p) {
  link_grace[p] = 0;
  resuming = 1;
  for (k : 0 .. GRANTS - 1) {
    if
    :: run_belongs_to(k, p) -> run_fire(k, resumed)
    :: else -> skip
    fi
  }
  resuming = 0
}
inline link_do_abandon_runs(p) {
  for (k : 0 .. GRANTS - 1) {
    if
    :: run_belongs_to(k, p) -> run_fire(k, entry_gone)
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
     announced_leaving[agent_of(p)] = 1
  :: else -> skip
  fi
}
inline link_do_withdraw_credits(p) {
  if
  :: slot_entry[agent_of(p)] == entry_of(p) -> slot_fire(agent_of(p), link_lost)
  :: else -> skip
  fi
}

/* Chart run. */

inline run_do_start(g) {
  check(starts_at_most_once, !started[task_of(g)]);
  check(not_run_is_true, !answered_not_run[job_of(task_of(g))]);
  check(no_start_after_leaving, !announced_leaving[run_agent[g]]);
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

/* Chart drain. */

inline drain_do_announce(a) {
  slot_fire(a, leave);
  for (n : 0 .. ENTRIES - 1) {
    if
    :: link_state[pair_of(n, a)] == link_up ->
       send_up(pair_of(n, a), leaving, 0, 0);
       announced_leaving[a] = 1
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
