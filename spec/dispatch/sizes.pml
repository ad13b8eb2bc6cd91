/* Sizes, budgets of faults, and the numbering of pairs, tasks and grants. */

/* Sizes and budgets of faults; a model sets them with -D. */
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
#ifndef BREAKS       /* of each connection pair */
#define BREAKS 1
#endif
#ifndef ENTRY_CRASHES /* of each entry, 0 or 1 */
#define ENTRY_CRASHES 0
#endif
#ifndef AGENT_CRASHES /* of each agent, 0 or 1 */
#define AGENT_CRASHES 0
#endif
#ifndef STOPS        /* planned stops of each agent, 0 or 1 */
#define STOPS 0
#endif
#ifndef CANCELS      /* of each job */
#define CANCELS 0
#endif
#ifndef SUBMITS      /* submissions of each job, first one included */
#define SUBMITS 1
#endif
#ifndef REVOKES      /* of each agent */
#define REVOKES 0
#endif
#ifndef SHEDS        /* 1: the queue may shed jobs and refuse submissions */
#define SHEDS 0
#endif
#ifndef DIALS        /* failed dials on each pair; set to cover dialing apart */
#define DIALS 0
#endif
#ifndef LIMITS       /* 1: a task may reach its time limit */
#define LIMITS 0
#endif
#ifndef ERRORS       /* 1: tasks may fail */
#define ERRORS 0
#endif

#ifndef MESSAGES     /* room for messages under way one way; never filled */
#define MESSAGES 7
#endif

#define NONE 255
#define PAIRS (ENTRIES * AGENTS)
#define ALL_TASKS (JOBS * TASKS)
#define GRANTS (ALL_TASKS * ATTEMPTS)
#define IDENTITIES 8  /* of one life of an agent on one pair */

#define entry_of(p) ((p) / AGENTS)
#define agent_of(p) ((p) % AGENTS)
#define pair_of(e, a) ((e) * AGENTS + (a))
#define life_of(identity) ((identity) / IDENTITIES)
#define owner_of(j) ((j) % ENTRIES)
#define job_of(t) ((t) / TASKS)
#define task_of(g) ((g) / ATTEMPTS)
#define grant_of(t, attempt) ((t) * ATTEMPTS + (attempt) - 1)
