/*
 * The configuration: operators who publish release notes through the table, and
 * instances that put revisions in force. The transitions come from the charts
 * proposal and revision; this file holds the table, its faults, the messages
 * and the properties.
 *
 * A commit is a request that the table handles at any later time, also after
 * its sender gave up waiting. Reading takes two calls, between which others
 * write. Instances restart, miss messages, and get them late or twice.
 */

/* Sizes and budgets of faults; a model sets them with -D. */
#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef PUBLISHINGS  /* attempts of one operator with one note */
#define PUBLISHINGS 2
#endif
#ifndef READS        /* of one attempt */
#define READS 3
#endif
#ifndef NOTES        /* further notes, each committed in one step */
#define NOTES 0
#endif
#ifndef REBASE       /* 1: a note may be applied to a later revision than its base */
#define REBASE 0
#endif
#ifndef SAME_NOTE    /* 1: all operators publish one note */
#define SAME_NOTE 0
#endif
#ifndef SAME_ID      /* 1: the operators' notes differ but have one id */
#define SAME_ID 0
#endif
#ifndef ENTRIES      /* instances that read the table */
#define ENTRIES 1
#endif
#ifndef AGENTS       /* instances that only others tell */
#define AGENTS 0
#endif
#ifndef RESTARTS     /* of each instance */
#define RESTARTS 0
#endif
#ifndef OFFERS       /* further messages of each instance, late or repeated */
#define OFFERS 0
#endif

#define INSTANCES (ENTRIES + AGENTS)
#define COMMITS (OPERATORS * PUBLISHINGS * READS)
#if OPERATORS
#define ROWS OPERATORS
#else
#define ROWS 1        /* arrays are never empty */
#endif
#define BASE 1        /* revision in the table at the start, and every note's base */

#if SAME_NOTE || SAME_ID
#define id_of(o) 0
#else
#define id_of(o) (o)
#endif
#if SAME_NOTE
#define digest_of(o) 1
#else
#define digest_of(o) ((o) + 1)
#endif
#define first_commit_of(o) ((o) * PUBLISHINGS * READS)
#define operator_of(c) ((c) / (PUBLISHINGS * READS))

/* Properties. A violated one is named in the checker's error. With PROPERTY
 * set, only that one is checked. */
#ifdef PROPERTY
#define CHECKED 0
#else
#define CHECKED 1
#endif
#define check(property, condition) assert((condition) || !property)
hidden byte note_applied_once = CHECKED;
hidden byte note_meets_its_base = CHECKED;
hidden byte revision_rises = CHECKED;
hidden byte answer_is_true = CHECKED;
hidden byte only_accepted_in_force = CHECKED;
hidden byte work_needs_revision = CHECKED;
hidden byte everyone_follows = CHECKED;
/* Does not hold, and is checked only by the variant that shows it. */
hidden byte restart_never_reverts = 0;

/* The table. */
byte table_revision;
byte row_of_id[ROWS];        /* digest of the applied note; 0 is none */
byte applications[ROWS];     /* of each note, for the properties */
mtype = { absent, pending, carried_out, refused_by_table };
mtype commit_state[ROWS * PUBLISHINGS * READS];
byte commit_expected[ROWS * PUBLISHINGS * READS];

/* Operators. */
byte proposal_state[ROWS];
byte reads[ROWS];
byte used[ROWS];             /* commits sent */
byte used_before[ROWS];      /* by earlier attempts */
mtype = { idle, reading_head, reading_id };
mtype call[ROWS];
byte head[ROWS];
byte found[ROWS];

/* Instances. */
byte revision_state[INSTANCES];
byte in_force[INSTANCES];
byte polled[INSTANCES];           /* answer of the table under way; 0 is none */
byte before_restart[INSTANCES];   /* in force in an earlier life */
chan offers[INSTANCES] = [2] of { byte };

/* Scratch space of one step. */
hidden byte offer, n;

/* Rules that a broken variant may replace. */

/* The transaction asks for the row's version and for the absence of the id. */
#ifndef table_compares_version
#define table_compares_version(c) (commit_expected[c] == table_revision)
#endif
#ifndef table_compares_id
#define table_compares_id(c) (row_of_id[id_of(operator_of(c))] == 0)
#endif
/* The configuration is read before the row of the note's id. */
#ifndef first_call
#define first_call reading_head
#define second_call reading_id
#endif
/* An instance takes work when it has a revision in force. */
#ifndef instance_takes_work
#define instance_takes_work(i) (revision_state[i] == revision_current || revision_state[i] == revision_outage)
#endif
/* An entry reads the table until it has what is there. */
#ifndef entry_polls
#define entry_polls(i) (in_force[i] < table_revision || revision_state[i] != revision_current)
#endif

/* Chart proposal. */

#define proposal_if_applied(o) (found[o] != 0 && found[o] == digest_of(o))
#define proposal_if_id_taken(o) (found[o] != 0)
#define proposal_if_inapplicable(o) (!REBASE && head[o] != BASE)
#define proposal_if_may_retry(o) (reads[o] < READS)
#define proposal_do_accept(o) check(answer_is_true, row_of_id[id_of(o)] == digest_of(o))
#define proposal_do_accept_found(o) check(answer_is_true, row_of_id[id_of(o)] == digest_of(o))
#define proposal_do_refuse(o) check_without_effect(o)
#define proposal_do_refuse_duplicate(o) check_without_effect(o)
#define proposal_do_refuse_unavailable(o) check_without_effect(o)
#define proposal_do_report_unknown(o) skip

/* Chart revision. */

#define revision_if_newer(i) (offer > in_force[i])
#define revision_if_behind(i) (offer < in_force[i])
#define revision_do_report_unavailable(i) skip
#define revision_do_report_available(i) skip
#define revision_do_report_behind(i) skip

#include "gen/proposal.pml"
#include "gen/revision.pml"

inline proposal_do_read(o) {
  reads[o]++;
  call[o] = first_call
}
inline proposal_do_commit(o) {
  n = first_commit_of(o) + used[o];
  used[o]++;
  commit_state[n] = pending;
  commit_expected[n] = head[o]
}

/* What is refused was not applied by this attempt and never will be. */
inline check_without_effect(o) {
  for (n : first_commit_of(o) + used_before[o] .. first_commit_of(o) + used[o]) {
    if
    :: n < first_commit_of(o) + used[o] ->
       check(answer_is_true, commit_state[n] != carried_out);
       check(answer_is_true, commit_state[n] != pending || !table_compares_version(n) || !table_compares_id(n))
    :: else -> skip
    fi
  }
}

inline revision_do_adopt(i) {
  check(revision_rises, offer > in_force[i]);
  check(only_accepted_in_force, offer <= table_revision);
  check(restart_never_reverts, offer >= before_restart[i]);
  in_force[i] = offer
}

/* Processes: the table. */

inline carry_out(c) {
  check(revision_rises, commit_expected[c] + 1 > table_revision);
  check(note_meets_its_base, REBASE || table_revision == BASE);
  check(note_applied_once, applications[digest_of(operator_of(c)) - 1] == 0);
  table_revision = commit_expected[c] + 1;
  row_of_id[id_of(operator_of(c))] = digest_of(operator_of(c));
  applications[digest_of(operator_of(c)) - 1]++;
  commit_state[c] = carried_out
}

proctype Table(byte c) {
end:
  do
  :: d_step {
       commit_state[c] == pending ->
       if
       :: table_compares_version(c) && table_compares_id(c) -> carry_out(c)
       :: else -> commit_state[c] = refused_by_table
       fi
     }
  od
}

#if NOTES
proctype Others() {
  byte left = NOTES;
end:
  do
  :: d_step { left > 0 -> left--; table_revision++ }
  od
}
#endif

/* Processes: an operator. */

#define last_commit_of(o) (first_commit_of(o) + used[o] - 1)
#define awaits_commit(o) (proposal_state[o] == proposal_writing || proposal_state[o] == proposal_rewriting)

/* Reads one of the two rows; the second one ends the call. */
inline read_row(o) {
  if
  :: call[o] == reading_head -> head[o] = table_revision
  :: else -> found[o] = row_of_id[id_of(o)]
  fi;
  if
  :: call[o] == first_call -> call[o] = second_call
  :: else ->
     call[o] = idle;
     proposal_fire(o, rows_read);
     if
     :: call[o] == idle ->
        head[o] = 0;
        found[o] = 0
     :: else -> skip
     fi
  fi
}

proctype Operator(byte o) {
  byte attempts = PUBLISHINGS - 1;
end:
  do
  :: d_step { proposal_state[o] == proposal_new -> proposal_fire(o, begin) }
  :: d_step { call[o] != idle -> read_row(o) }
  :: d_step { call[o] != idle -> call[o] = idle; proposal_fire(o, unavailable) }
  :: d_step {
       awaits_commit(o) && commit_state[last_commit_of(o)] == carried_out -> proposal_fire(o, committed)
     }
  :: d_step {
       awaits_commit(o) && commit_state[last_commit_of(o)] == refused_by_table -> proposal_fire(o, conflicted)
     }
  /* The answer is lost, or late. */
  :: d_step { awaits_commit(o) -> proposal_fire(o, unanswered) }
  /* The request was never sent. */
  :: d_step {
       awaits_commit(o) && commit_state[last_commit_of(o)] == pending ->
       commit_state[last_commit_of(o)] = absent;
       proposal_fire(o, unavailable)
     }
  /* The operator's process ends at any moment, and the operator tries again. */
  :: d_step {
       attempts > 0 && proposal_state[o] != proposal_new ->
       attempts--;
       proposal_state[o] = proposal_new;
       call[o] = idle;
       head[o] = 0;
       found[o] = 0;
       reads[o] = 0;
       used_before[o] = used[o]
     }
  od
}

/* Processes: an instance. */

proctype Watcher(byte i) {
end:
  do
  /* The table answers now; the answer is handled later. */
  :: d_step { polled[i] == 0 && entry_polls(i) -> polled[i] = table_revision }
  :: d_step {
       polled[i] != 0 ->
       offer = polled[i];
       polled[i] = 0;
       revision_fire(i, read)
     }
  :: d_step { polled[i] != 0 -> polled[i] = 0; revision_fire(i, unavailable) }
  od
}

proctype Instance(byte i) {
end:
  do
  :: d_step { offers[i]?offer -> revision_fire(i, offered) }
  :: d_step {
       instance_takes_work(i) && in_force[i] == 0 -> check(work_needs_revision, false)
     }
  od
}

/* Tells another instance what is in force here. */
proctype Push(byte from; byte target) {
  byte left = OFFERS;
end:
  do
  :: d_step { in_force[from] > in_force[target] && nfull(offers[target]) -> offers[target]!in_force[from] }
  /* A message that is late or repeated. */
  :: d_step { left > 0 && in_force[from] != 0 && nfull(offers[target]) -> left--; offers[target]!in_force[from] }
  od
}

#if RESTARTS
proctype Restart(byte i) {
  byte left = RESTARTS;
end:
  do
  :: d_step {
       left > 0 && in_force[i] != 0 ->
       left--;
       before_restart[i] = in_force[i];
       in_force[i] = 0;
       revision_state[i] = revision_initial;
       polled[i] = 0;
       do
       :: nempty(offers[i]) -> offers[i]?n
       :: empty(offers[i]) -> break
       od;
       skip
     }
  od
}
#endif

/* When nothing more can happen, everyone has the revision of the table. */
proctype Monitor() {
end:
  timeout ->
  d_step {
    for (n : 0 .. INSTANCES - 1) {
      check(everyone_follows, in_force[n] == table_revision)
    }
    for (n : 0 .. OPERATORS - 1) {
      check(answer_is_true, proposal_is_final(proposal_state[n]))
    }
  }
}

inline prepare() {
#ifdef PROPERTY
  PROPERTY = 1;
#endif
  table_revision = BASE;
  for (n : 0 .. COMMITS - 1) {
    commit_state[n] = absent
  }
  for (n : 0 .. OPERATORS - 1) {
    proposal_state[n] = proposal_initial;
    call[n] = idle
  }
  for (n : 0 .. INSTANCES - 1) {
    revision_state[n] = revision_initial
  }
}

init {
  byte x, y;
  atomic {
    d_step { prepare() };
    for (x : 0 .. COMMITS - 1) {
      run Table(x)
    }
    for (x : 0 .. OPERATORS - 1) {
      run Operator(x)
    }
    for (x : 0 .. ENTRIES - 1) {
      run Watcher(x)
    }
    for (x : 0 .. INSTANCES - 1) {
      run Instance(x);
#if RESTARTS
      run Restart(x);
#endif
      for (y : 0 .. INSTANCES - 1) {
        if
        :: x != y -> run Push(x, y)
        :: else -> skip
        fi
      }
    }
#if NOTES
    run Others();
#endif
    run Monitor();
    x = 0;
    y = 0
  }
}
