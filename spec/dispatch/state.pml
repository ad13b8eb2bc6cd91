/* Properties and variables. */

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
