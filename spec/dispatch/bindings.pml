/* Guards and one-line actions of the charts. Longer actions are inlines in
 * entry_actions.pml and agent_actions.pml. */

/* job */
#define job_if_admitted(j) queue_admits
#define job_if_all_done(j) each_task(is_done, j)
#define job_if_not_run(j) each_task(is_not_granted, j)
#define job_do_accept(j) accepted[j] = 1
#define job_do_answer_complete(j) answer_complete(j)
#define job_do_fail_by_task(j) answer_failed(j, 0)
#define job_do_fail_refused(j) answer_failed(j, 1)
/* In this model no grant waits at an agent. */
#define job_if_unstarted(j) false
#define job_do_withdraw_tasks(j) skip
#define job_do_fail_shed(j) answer_failed(j, 1)
#define job_do_fail_cancelled(j) answer_failed(j, job_if_not_run(j))
#define job_do_fail_expired(j) answer_failed(j, job_if_not_run(j))

/* task */
/* The model covers only services whose tasks must not run twice. */
#define task_if_may_repeat(t) false
#define task_if_repeatable(t) false
#define task_do_count_error(t) skip
#define task_do_log_return(t) skip
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
#define link_do_start_new_session(p) link_identity[p]++

/* slot */
#define slot_if_leaving(a) (drain_state[a] != drain_serving)
#define slot_do_assign(a) slot_entry[a] = offered_to
#define slot_do_withdraw(a) slot_entry[a] = NONE
#define slot_do_occupy(a) slot_entry[a] = NONE
#define slot_do_vacate(a) skip
#define slot_do_claim(a) skip

/* run */
#define run_if_may_start(g) (agent_takes_grants(run_agent[g]) && slot_state[run_agent[g]] == slot_offered && slot_entry[run_agent[g]] == owner_of(job_of(task_of(g))))
/* The model covers only grants that use a credit, so none waits for a slot, and no times, so
   a link confirms what was sent on it at once. */
#define run_if_unconfirmed(g) false
#define run_if_may_wait(g) false
#define run_do_enqueue(g) skip
#define run_do_dequeue(g) skip
#define run_do_report_start(g) skip
#define run_do_refuse(g) send_up(run_pair(g), refusal, g, 0)
#define run_do_free_slot(g) slot_fire(run_agent[g], release)
#define run_do_keep_result(g) skip
#define run_do_stop_task(g) skip
#define run_do_mark_over_limit(g) skip
#define run_do_forget_result(g) run_errored[g] = 0
