/* Answers to callers, and the actions of the charts job, task and session. */

/* Answers to callers. */

inline answer_complete(j) {
  check(one_answer, !answered_failed[j]);
  check(answer_is_whole, each_task(is_done, j));
  check(result_of_own_job, each_task(has_own_result, j));
  answered_complete[j] = 1
}

/* After the job's expiry or the end of its owner, "failed" may follow
 * "complete", because the stored answer is gone. "complete" must never follow
 * "failed". */
inline answer_failed(j, not_run) {
  check(one_answer, !answered_complete[j] || expired[j] || incarnation[owner_of(j)] != 0);
  check(not_run_is_true, !(not_run) || each_task(is_unstarted, j));
  answered_failed[j] = 1;
  answered_not_run[j] = answered_not_run[j] || (not_run)
}

/* Chart job. */

inline job_do_stop_tasks(j) {
  for (s : (j) * TASKS .. (j) * TASKS + TASKS - 1) {
    task_fire(s, job_ended)
  }
}

/* Chart task. */

/* Reports the end of a task to its job. */
inline report_task_end(t) {
  if
  :: task_state[t] == task_done -> job_fire(job_of(t), task_done)
  :: task_state[t] == task_failed -> job_fire(job_of(t), task_failed)
  :: else -> skip
  fi
}

/* Chart session. */

#define is_granted_to(t, p) (owner_of(job_of(t)) == entry_of(p) && task_agent[t] == agent_of(p))
inline session_do_suspend_grants(p) {
  for (k : 0 .. ALL_TASKS - 1) {
    if
    :: is_granted_to(k, p) -> task_fire(k, link_lost)
    :: else -> skip
    fi
  }
}
inline session_do_lose_grants(p) {
  for (k : 0 .. ALL_TASKS - 1) {
    if
    :: is_granted_to(k, p) ->
       task_fire(k, agent_gone);
       report_task_end(k)
    :: else -> skip
    fi
  }
}
inline session_do_reconcile(p) {
  for (k : 0 .. ALL_TASKS - 1) {
    if
    :: is_granted_to(k, p) && (held & (1 << grant_of(k, task_attempt[k]))) -> task_fire(k, listed)
    :: is_granted_to(k, p) && !(held & (1 << grant_of(k, task_attempt[k]))) -> task_fire(k, unlisted)
    :: else -> skip
    fi
  }
}
