/* Accepting and applying configuration: two editors whose answers may be lost,
   a watcher with a disk, a follower without one that is notified and
   restarted, and a store that is restored from an older backup.

   Properties: an accepted edit is in the log exactly once and its content is
   in the manifest; an accepted revision is eventually in force everywhere; the
   revision in force in an instance never decreases.

   Assumptions: the store is restored to an older state only after the watcher
   has applied the revisions that are lost (an edit that no live instance has
   applied is lost with the store), and contents are immutable. */
/* mutants: APPLY_ANY BLIND_RETRY TRUST_TOP NO_COMPARE REPORT_EARLY STORE_FIRST NOT_TOLD */

#define EDITORS 2
#define LOSSES 2
#define RESTARTS 2
#define REVISIONS 8

/* the store */
byte modification = 0;
byte revision = 0;
byte content = 0; /* one bit per edit */
byte record[REVISIONS]; /* 1 + edit that made the revision; 0: none */
bool storeRestored = false;

/* pending commits whose answers are lost */
bool late[EDITORS];
byte lateModification[EDITORS];
byte lateRevision[EDITORS];
byte lateContent[EDITORS];

byte accepted = 0; /* one bit per edit reported as accepted */
byte finished = 0;

/* instances: 0 watches the store, 1 follows instance 0 */
byte inForce[2];
byte best[2]; /* highest revision that was in force there */

inline Replace(aEdit, aModification, aRevision, aContent, aApplied) {
#ifdef NO_COMPARE
  if
  :: true ->
#else
  if
  :: modification == aModification ->
#endif
     modification++;
     revision = aRevision;
     content = aContent;
     record[aRevision] = aEdit + 1;
     aApplied = true
  :: else -> aApplied = false
  fi
}

inline Apply(aInstance, aRevision) {
  assert(aRevision >= best[aInstance]);
  inForce[aInstance] = aRevision;
  best[aInstance] = aRevision
}

proctype Editor(byte id) {
  byte baseModification, baseRevision, baseContent;
  byte attempt, attemptModification, losses;
  bool unsettled, applied;
ReadManifest:
  atomic {
    baseModification = modification;
    baseRevision = revision;
    baseContent = content;
    if
    :: unsettled && baseModification != attemptModification -> goto ReadRecord
    :: else -> skip
    fi
  };
Commit:
  atomic {
    attempt = baseRevision + 1;
    attemptModification = baseModification;
    assert(attempt < REVISIONS);
    if
    :: Replace(id, baseModification, attempt, (baseContent | (1 << id)), applied);
       if
       :: applied -> goto Accepted
       :: else -> goto ReadManifest
       fi
    :: losses < LOSSES ->
       losses++;
#ifdef REPORT_EARLY
       goto Accepted;
#endif
#ifndef BLIND_RETRY
       unsettled = true;
#endif
       if
       :: Replace(id, baseModification, attempt, (baseContent | (1 << id)), applied)
       :: !late[id] ->
          late[id] = true;
          lateModification[id] = baseModification;
          lateRevision[id] = attempt;
          lateContent[id] = baseContent | (1 << id)
       :: true -> skip
       fi;
       goto ReadManifest
    fi
  };
ReadRecord:
  atomic {
#ifdef TRUST_TOP
    if
    :: record[revision] == id + 1 -> goto Accepted
#else
    if
    :: record[attempt] == id + 1 -> goto Accepted
#endif
    :: else -> unsettled = false; goto Commit
    fi
  };
Accepted:
  atomic {
    accepted = accepted | (1 << id);
    finished++
  }
}

proctype Network() {
  bool applied;
  byte i;
end:
  do
  :: atomic { late[0] -> i = 0 } ->
     atomic { Replace(0, lateModification[0], lateRevision[0], lateContent[0], applied); late[0] = false }
  :: atomic { late[1] -> i = 1 } ->
     atomic { Replace(1, lateModification[1], lateRevision[1], lateContent[1], applied); late[1] = false }
  od
}

proctype Watcher() {
end:
  do
#ifdef APPLY_ANY
  :: atomic { revision != inForce[0] -> Apply(0, revision) }
#else
  :: atomic { revision > inForce[0] -> Apply(0, revision) }
#endif
  od
}

proctype Follower() {
  byte restarts, seen;
end:
  do
#ifndef NOT_TOLD
  :: atomic { inForce[0] > inForce[1] -> Apply(1, inForce[0]) }
#endif
  :: atomic {
       restarts < RESTARTS ->
       restarts++;
       inForce[1] = 0;
       /* A new instance reads from a peer and the store, then applies. */
#ifdef STORE_FIRST
       seen = revision;
#else
       seen = (inForce[0] > revision -> inForce[0] : revision);
#endif
       if
       :: seen > 0 -> Apply(1, seen)
       :: else -> skip
       fi
     }
  od
}

/* The store is restored to the previous revision. */
proctype StoreRestore() {
  atomic {
    if
    :: finished == EDITORS && !late[0] && !late[1] && revision > 1 &&
       inForce[0] == revision ->
       storeRestored = true;
       revision--;
       modification++
    :: true -> skip
    fi
  }
}

proctype Outcome() {
  byte i, times0, times1;
  timeout;
  d_step {
    i = 0;
    do
    :: i < REVISIONS ->
       times0 = times0 + (record[i] == 1 -> 1 : 0);
       times1 = times1 + (record[i] == 2 -> 1 : 0);
       i++
    :: else -> break
    od;
    assert(accepted == 3);
    assert(times0 == 1 && times1 == 1);
    assert(content == 3);
    assert(inForce[0] == inForce[1]);
    assert(storeRestored || inForce[0] == revision)
  }
}

init {
  atomic {
    run Editor(0);
    run Editor(1);
    run Network();
    run Watcher();
    run Follower();
    run StoreRestore();
    run Outcome()
  }
}
