/*
 * Model of configuration changes: operators publish release notes through the
 * table, and instances put revisions in force. The transitions come from the
 * charts proposal and revision; this file models the table, its faults and the
 * messages, and states the properties.
 *
 * The table may handle a commit at any later time, even after its sender has
 * stopped waiting. An operator reads with two calls, and others may write
 * between them. Instances may restart, and messages to them may be lost,
 * delayed or duplicated.
 */

/* Sizes and fault budgets. The main file of each search defines those that its
 * model sets. */
#ifndef OPERATORS
#define OPERATORS 2
#endif
#ifndef PUBLISHINGS  /* attempts of one operator to publish its note */
#define PUBLISHINGS 2
#endif
#ifndef READS        /* reads of the table per attempt */
#define READS 3
#endif
#ifndef NOTES        /* notes of other operators, each committed in one step */
#define NOTES 0
#endif
#ifndef REBASE       /* 1: a note may be applied to a later revision than its base */
#define REBASE 0
#endif
#ifndef SAME_NOTE    /* 1: all operators publish the same note */
#define SAME_NOTE 0
#endif
#ifndef SAME_ID      /* 1: the operators publish different notes with the same id */
#define SAME_ID 0
#endif
#ifndef ENTRIES      /* instances that read the table */
#define ENTRIES 1
#endif
#ifndef AGENTS       /* instances that learn revisions only from other instances */
#define AGENTS 0
#endif
#ifndef RESTARTS     /* restarts of each instance */
#define RESTARTS 0
#endif
#ifndef OFFERS       /* delayed or duplicate offers from one instance to another */
#define OFFERS 0
#endif

#define INSTANCES (ENTRIES + AGENTS)
#define COMMITS (OPERATORS * PUBLISHINGS * READS)
#if OPERATORS
#define ROWS OPERATORS
#else
#define ROWS 1        /* Promela has no empty arrays */
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

/* Properties. The checker's error names the property that was violated. If
 * PROPERTY is defined, only that property is checked. */
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
/* Does not hold; only the variant restart-in-an-outage checks it. */
hidden byte restart_never_reverts = 0;

/* The table. */
byte table_revision;
byte row_of_id[ROWS];        /* digest of the applied note; 0 if none */
byte applications[ROWS];     /* times each note was applied, for the properties */
mtype = { not_sent, pending, applied, refused_by_table };
mtype commit_state[ROWS * PUBLISHINGS * READS];
byte commit_expected[ROWS * PUBLISHINGS * READS];

/* Operators. */
byte proposal_state[ROWS];
byte reads[ROWS];
byte commits_sent[ROWS];             /* commits sent */
byte commits_sent_before[ROWS];      /* those sent by earlier attempts */
mtype = { idle, reading_configuration, reading_id };
mtype read_state[ROWS];
byte revision_read[ROWS];
byte digest_read[ROWS];

/* Instances. */
byte revision_state[INSTANCES];
byte in_force[INSTANCES];
byte poll_answer[INSTANCES];           /* revision in the table's answer in transit; 0 if none */
byte in_force_before_restart[INSTANCES];   /* revision in force at the last restart */
chan offers[INSTANCES] = [2] of { byte };

/* Temporary variables within one step. */
hidden byte offer, n;

/* Rules that a variant may replace. */

/* A transaction requires the expected version of the configuration row and that
 * the row of the note's id does not exist. */
#ifndef table_compares_version
#define table_compares_version(c) (commit_expected[c] == table_revision)
#endif
#ifndef table_compares_id
#define table_compares_id(c) (row_of_id[id_of(operator_of(c))] == 0)
#endif
/* The configuration is read before the row of the note's id. */
#ifndef first_read
#define first_read reading_configuration
#define second_read reading_id
#endif
/* An instance takes work only with a revision in force. */
#ifndef instance_takes_work
#define instance_takes_work(i) (revision_state[i] == revision_current || revision_state[i] == revision_outage)
#endif
/* An entry polls the table until the table's revision is in force. */
#ifndef entry_polls
#define entry_polls(i) (in_force[i] < table_revision || revision_state[i] != revision_current)
#endif

/* Chart proposal. */

#define proposal_if_applied(o) (digest_read[o] != 0 && digest_read[o] == digest_of(o))
#define proposal_if_id_taken(o) (digest_read[o] != 0)
#define proposal_if_inapplicable(o) (!REBASE && revision_read[o] != BASE)
#define proposal_if_may_retry(o) (reads[o] < READS)
#define proposal_do_accept(o) check(answer_is_true, row_of_id[id_of(o)] == digest_of(o))
#define proposal_do_accept_found(o) check(answer_is_true, row_of_id[id_of(o)] == digest_of(o))
#define proposal_do_refuse(o) check_not_applied(o)
#define proposal_do_refuse_duplicate(o) check_not_applied(o)
#define proposal_do_refuse_unavailable(o) check_not_applied(o)
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
  read_state[o] = first_read
}
inline proposal_do_commit(o) {
  n = first_commit_of(o) + commits_sent[o];
  commits_sent[o]++;
  commit_state[n] = pending;
  commit_expected[n] = revision_read[o]
}

/* Checks that no commit of a refused attempt was applied or can still be
 * applied. */
inline check_not_applied(o) {
  for (n : first_commit_of(o) + commits_sent_before[o] .. first_commit_of(o) + commits_sent[o]) {
    if
    :: n < first_commit_of(o) + commits_sent[o] ->
       check(answer_is_true, commit_state[n] != applied);
       check(answer_is_true, commit_state[n] != pending || !table_compares_version(n) || !table_compares_id(n))
    :: else -> skip
    fi
  }
}

inline revision_do_adopt(i) {
  check(revision_rises, offer > in_force[i]);
  check(only_accepted_in_force, offer <= table_revision);
  check(restart_never_reverts, offer >= in_force_before_restart[i]);
  in_force[i] = offer
}

/* Processes: the table. */

inline apply_commit(c) {
  check(revision_rises, commit_expected[c] + 1 > table_revision);
  check(note_meets_its_base, REBASE || table_revision == BASE);
  check(note_applied_once, applications[digest_of(operator_of(c)) - 1] == 0);
  table_revision = commit_expected[c] + 1;
  row_of_id[id_of(operator_of(c))] = digest_of(operator_of(c));
  applications[digest_of(operator_of(c)) - 1]++;
  commit_state[c] = applied
}

proctype TableCommit(byte c) {
end:
  do
  :: d_step {
       commit_state[c] == pending ->
       if
       :: table_compares_version(c) && table_compares_id(c) -> apply_commit(c)
       :: else -> commit_state[c] = refused_by_table
       fi
     }
  od
}

#if NOTES
proctype OtherOperators() {
  byte left = NOTES;
end:
  do
  :: d_step { left > 0 -> left--; table_revision++ }
  od
}
#endif

/* Processes: the operators. */

#define last_commit_of(o) (first_commit_of(o) + commits_sent[o] - 1)
#define awaits_commit(o) (proposal_state[o] == proposal_writing || proposal_state[o] == proposal_rewriting)

/* Reads one of the two rows; the second read completes the call. */
inline read_row(o) {
  if
  :: read_state[o] == reading_configuration -> revision_read[o] = table_revision
  :: else -> digest_read[o] = row_of_id[id_of(o)]
  fi;
  if
  :: read_state[o] == first_read -> read_state[o] = second_read
  :: else ->
     read_state[o] = idle;
     proposal_fire(o, rows_read);
     if
     :: read_state[o] == idle ->
        revision_read[o] = 0;
        digest_read[o] = 0
     :: else -> skip
     fi
  fi
}

proctype Operator(byte o) {
  byte attempts = PUBLISHINGS - 1;
end:
  do
  :: d_step { proposal_state[o] == proposal_new -> proposal_fire(o, begin) }
  :: d_step { read_state[o] != idle -> read_row(o) }
  :: d_step { read_state[o] != idle -> read_state[o] = idle; proposal_fire(o, unavailable) }
  :: d_step {
       awaits_commit(o) && commit_state[last_commit_of(o)] == applied -> proposal_fire(o, committed)
     }
  :: d_step {
       awaits_commit(o) && commit_state[last_commit_of(o)] == refused_by_table -> proposal_fire(o, conflicted)
     }
  /* The answer is lost or arrives too late. */
  :: d_step { awaits_commit(o) -> proposal_fire(o, unanswered) }
  /* The request was never sent. */
  :: d_step {
       awaits_commit(o) && commit_state[last_commit_of(o)] == pending ->
       commit_state[last_commit_of(o)] = not_sent;
       proposal_fire(o, unavailable)
     }
  /* The operator's process may end at any time; the operator then retries. */
  :: d_step {
       attempts > 0 && proposal_state[o] != proposal_new ->
       attempts--;
       proposal_state[o] = proposal_new;
       read_state[o] = idle;
       revision_read[o] = 0;
       digest_read[o] = 0;
       reads[o] = 0;
       commits_sent_before[o] = commits_sent[o]
     }
  od
}

/* Processes: the instances. */

proctype TablePoller(byte i) {
end:
  do
  /* The table answers in this step; the instance handles the answer in a later
   * one. */
  :: d_step { poll_answer[i] == 0 && entry_polls(i) -> poll_answer[i] = table_revision }
  :: d_step {
       poll_answer[i] != 0 ->
       offer = poll_answer[i];
       poll_answer[i] = 0;
       revision_fire(i, read)
     }
  :: d_step { poll_answer[i] != 0 -> poll_answer[i] = 0; revision_fire(i, unavailable) }
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

/* Offers the revision in force at one instance to another. */
proctype OfferRevision(byte from; byte target) {
  byte left = OFFERS;
end:
  do
  :: d_step { in_force[from] > in_force[target] && nfull(offers[target]) -> offers[target]!in_force[from] }
  /* A delayed or duplicate offer. */
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
       in_force_before_restart[i] = in_force[i];
       in_force[i] = 0;
       revision_state[i] = revision_initial;
       poll_answer[i] = 0;
       do
       :: nempty(offers[i]) -> offers[i]?n
       :: empty(offers[i]) -> break
       od;
       skip
     }
  od
}
#endif

/* When no process can take a step, every instance must have the table's
 * revision in force and every proposal must have ended. */
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

inline initialise() {
#ifdef PROPERTY
  PROPERTY = 1;
#endif
  table_revision = BASE;
  for (n : 0 .. COMMITS - 1) {
    commit_state[n] = not_sent
  }
  for (n : 0 .. OPERATORS - 1) {
    proposal_state[n] = proposal_initial;
    read_state[n] = idle
  }
  for (n : 0 .. INSTANCES - 1) {
    revision_state[n] = revision_initial
  }
}

init {
  byte x, y;
  atomic {
    d_step { initialise() };
    for (x : 0 .. COMMITS - 1) {
      run TableCommit(x)
    }
    for (x : 0 .. OPERATORS - 1) {
      run Operator(x)
    }
    for (x : 0 .. ENTRIES - 1) {
      run TablePoller(x)
    }
    for (x : 0 .. INSTANCES - 1) {
      run Instance(x);
#if RESTARTS
      run Restart(x);
#endif
      for (y : 0 .. INSTANCES - 1) {
        if
        :: x != y -> run OfferRevision(x, y)
        :: else -> skip
        fi
      }
    }
#if NOTES
    run OtherOperators();
#endif
    run Monitor();
    x = 0;
    y = 0
  }
}
