/*
 * The dispatch protocol: entries, agents, the connections between them,
 * callers and clocks. The transitions come from the charts (gen/); the other files
 * hold their guards and actions, the messages, the faults and the properties.
 *
 * Every step of a process is one indivisible d_step: one message or timer in,
 * all effects out, as in the code. A process that is paused takes no step;
 * since any process may be passed over for any number of steps, each pause is
 * covered. Variables marked hidden are scratch space within one step.
 *
 * Only the first incarnation of an entry owns jobs: a job's id names its owner.
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
#include "dispatch/surroundings.pml"
