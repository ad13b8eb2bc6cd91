/*
 * Model of the dispatch protocol: entries, agents, the connections between
 * them, callers and clocks. The transitions are generated from the charts
 * (gen/); the files in dispatch/ define guards, actions, messages, faults and
 * properties.
 *
 * Each step of a process is one d_step that handles one message or timer with
 * all its effects, as in the code. The scheduler may delay any process for any
 * number of steps, so pauses of any length are covered. Hidden variables are
 * temporary within one step.
 *
 * Only the first incarnation of an entry owns jobs, because a job's id names the
 * incarnation that owns it.
 */

#include "dispatch/sizes.pml"
#include "dispatch/state.pml"
#include "dispatch/rules.pml"
#include "dispatch/bindings.pml"
#include "gen/drain.pml"
#include "gen/task.pml"
#include "gen/job.pml"
#include "gen/session.pml"
#include "gen/slot.pml"
#include "gen/run.pml"
#include "gen/link.pml"
#include "dispatch/entry_actions.pml"
#include "dispatch/agent_actions.pml"
#include "dispatch/network.pml"
#include "dispatch/entry.pml"
#include "dispatch/agent.pml"
#include "dispatch/environment.pml"
