/* Sizes, fault budgets, and the numbering of pairs, tasks and grants. A pair is
 * an entry and an agent. */

/* Sizes and fault budgets. The main file of each search defines those that its
 * model sets. */
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
#ifndef BREAKS       /* connection failures of each pair */
#define BREAKS 1
#endif
#ifndef ENTRY_CRASHES /* crashes of entry 0, 0 or 1 */
#define ENTRY_CRASHES 0
#endif
#ifndef AGENT_CRASHES /* crashes of each agent, 0 or 1 */
#define AGENT_CRASHES 0
#endif
#ifndef STOPS        /* planned stops of each agent, 0 or 1 */
#define STOPS 0
#endif
#ifndef CANCELS      /* cancellations of each job */
#define CANCELS 0
#endif
#ifndef SUBMITS      /* submissions of each job, including the first */
#define SUBMITS 1
#endif
#ifndef REVOKES      /* revocations of each agent */
#define REVOKES 0
#endif
#ifndef SHEDS        /* 1: the entry may shed jobs and refuse submissions */
#define SHEDS 0
#endif
#ifndef DIALS        /* failed dials of each pair; if set, dialling is a step of its own */
#define DIALS 0
#endif
#ifndef LIMITS       /* 1: a task may reach its time limit */
#define LIMITS 0
#endif
#ifndef ERRORS       /* 1: tasks may fail */
#define ERRORS 0
#endif

#ifndef CHANNEL_CAPACITY     /* messages in transit per direction; an assertion checks that it suffices */
#define CHANNEL_CAPACITY 7
#endif

#define NONE 255
#define PAIRS (ENTRIES * AGENTS)
#define ALL_TASKS (JOBS * TASKS)
#define GRANTS (ALL_TASKS * ATTEMPTS)
#define IDENTITIES 8  /* session identities per agent process and pair */

#define entry_of(p) ((p) / AGENTS)
#define agent_of(p) ((p) % AGENTS)
#define pair_of(e, a) ((e) * AGENTS + (a))
#define process_of(identity) ((identity) / IDENTITIES)
#define owner_of(j) ((j) % ENTRIES)
#define job_of(t) ((t) / TASKS)
#define task_of(g) ((g) / ATTEMPTS)
#define grant_of(t, attempt) ((t) * ATTEMPTS + (attempt) - 1)
