/* Properties and variables. */

/* Properties. The checker's error names the property that was violated. If
 * PROPERTY is defined, only that property is checked. */
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

/* History, recorded for the properties. */
bit started[ALL_TASKS];
bit executing[ALL_TASKS];
bit answered_complete[JOBS];
bit answered_failed[JOBS];
bit answered_not_run[JOBS];
bit announced_leaving[AGENTS];

/* Entries. */
byte incarnation[ENTRIES];
byte job_state[JOBS];
bit accepted[JOBS];            /* the owner has the job's tasks */
byte task_state[ALL_TASKS];
byte task_attempt[ALL_TASKS];
byte task_agent[ALL_TASKS];
byte task_result[ALL_TASKS];
byte session_state[PAIRS];
byte session_identity[PAIRS];
byte session_link[PAIRS];     /* current connection; 0 if none */
byte session_latest[PAIRS];   /* latest connection that was current */
short credits[PAIRS];         /* negative while a revocation crosses a grant */

/* Agents. */
byte link_state[PAIRS];
byte link_entry[PAIRS];       /* incarnation of the entry */
byte link_identity[PAIRS];    /* session identity that the hello carries */
bit link_grace[PAIRS];        /* the grace period is running */
byte slot_state[AGENTS];
byte slot_entry[AGENTS];
byte run_state[GRANTS];
byte run_agent[GRANTS];
bit run_errored[GRANTS];
byte drain_state[AGENTS];
#define run_none 15

/* Connections, numbered per pair in the order of dials. */
byte connection[PAIRS];
bit connection_open[PAIRS];
mtype = { hello, result, errored, refusal, offer, revoke, leaving,
          welcome, grant, cancel, acknowledge };
/* kind, connection, held grants or grant, identity, leaving */
chan up[PAIRS] = [CHANNEL_CAPACITY] of { mtype, byte, byte, byte, bit };
/* kind, incarnation or grant */
chan down[PAIRS] = [CHANNEL_CAPACITY] of { mtype, byte };

/* Callers and clocks. */
chan submissions[ENTRIES] = [JOBS * SUBMITS] of { byte };
bit expired[JOBS];      /* the expiry has passed on the owner's clock */
bit margin_passed[JOBS];  /* the expiry has passed on every clock */

/* Temporary variables within one step. */
hidden mtype kind;
hidden byte connection_number, argument, identity, held, payload, offered_to, welcomed;
hidden byte leaving_flag, queue_admits, resuming;
hidden byte i, k, n, s;
