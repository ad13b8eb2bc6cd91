/* Answers, and the actions of the charts job, task and session. */

/* Answers. */

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

/* Chart job. */

inline job_do_stop_tasks(j) {
  for (s : (j) * TASKS .. (j) * TASKS + TASKS - 1) {
    task_fire(s, job_ended)
  }
}

/* Chart task. */

/* Tells the job what its task became. */
inline task_follow(t) {
  if
  :: task_state[t] == task_done -> job_fire(job_of(t), task_done)
  :: task_state[t] == task_failed -> job_fire(job_of(t), task_failed)
  :: else -> skip
  fi
}

/* Chart session. */

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
