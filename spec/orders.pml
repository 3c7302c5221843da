/* Orders to one upstream under a lease that expires. Owner 1 may be paused at
 * any step and detect the expiry late; owner 2 takes over. Requests and
 * answers may be lost, delayed and reordered. The upstream either checks
 * fencing numbers or ignores them.
 *
 * Properties: at the end the upstream has the wanted version. Its version is
 * never older than the last confirmed one, neither at the end nor when an
 * owner confirms a version.
 *
 * Each order is sent once: the client must not repeat it itself, as a copy
 * could arrive after a later order of the same term.
 *
 * Time is the phase of owner 1's lease: 0 orders may be sent, 1 within the
 * safety margin, 2 expired at the store, 3 the next owner's waiting time has
 * passed. At an upstream that ignores fencing numbers an order takes effect
 * within a time bound or never, so phase 3 starts only when no orders of
 * owner 1 are in flight.
 */
/* mutants: NO_MARGIN NO_READ_BACK RELATIVE_ORDERS NO_FENCING_CHECK NO_ANNOUNCE NO_SETTLE_WAIT */

#define SLOTS 2
#define NO_CHANGE 9

byte version = 0;
byte seen = 0;
byte wanted = 1;
byte confirmed = 0;
byte phase = 0;
bool checks;
bool ended[3];
byte answer[3];            /* 0: none, 1: done, 2: refused */
byte slotTerm[SLOTS];      /* 0: free */
byte slotVersion[SLOTS];

inline Put(aTerm, aVersion)
{
  if
  :: slotTerm[0] == 0 -> slotTerm[0] = aTerm; slotVersion[0] = aVersion
  :: else -> slotTerm[1] = aTerm; slotVersion[1] = aVersion
  fi
}

inline Confirm(aVersion)
{
  if
  :: aVersion > confirmed -> confirmed = aVersion
  :: else
  fi;
  assert(version >= confirmed)
}

inline Deliver(i)
{
  if
  :: checks && slotTerm[i] < seen -> answer[slotTerm[i]] = 2
  :: else ->
    if
    :: slotTerm[i] > seen -> seen = slotTerm[i]
    :: else
    fi;
    if
    :: slotVersion[i] == NO_CHANGE
    :: else ->
#ifdef RELATIVE_ORDERS
      version = (version < 4 -> version + 1 : version)
#else
      version = slotVersion[i]
#endif
    fi;
    answer[slotTerm[i]] = 1
  fi;
#ifdef NO_FENCING_CHECK
  if
  :: slotVersion[i] != NO_CHANGE -> version = slotVersion[i]
  :: else
  fi;
#endif
  slotTerm[i] = 0; slotVersion[i] = 0
}

active proctype Network()
{
  byte i;
end:
  do
  :: atomic { slotTerm[0] != 0 -> i = 0; Deliver(i) }
  :: atomic { slotTerm[1] != 0 -> i = 1; Deliver(i) }
  :: atomic { slotTerm[0] != 0 -> slotTerm[0] = 0; slotVersion[0] = 0 }
  :: atomic { slotTerm[1] != 0 -> slotTerm[1] = 0; slotVersion[1] = 0 }
  od
}

active proctype Time()
{
  phase = 1;
  phase = 2;
  atomic {
    (checks || (slotTerm[0] != 1 && slotTerm[1] != 1)) -> phase = 3
  }
}

active proctype Trainer()
{
  wanted = 2
}

#define OWN_IN_FLIGHT(t) (slotTerm[0] == t || slotTerm[1] == t)
#define ROOM (slotTerm[0] == 0 || slotTerm[1] == 0)
#ifdef NO_MARGIN
#define MAY_SEND(t) true
#else
#define MAY_SEND(t) (checks || t == 2 || phase == 0)
#endif

proctype Owner(byte term)
{
  byte want;
  byte known;
  byte sent;
  bool announced = !checks;
  bool sure;
  want = wanted;
#ifdef NO_ANNOUNCE
  announced = true;
#endif
again:
  if
  :: term == 1 -> goto stopped   /* crashed, or paused forever */
  :: true
  fi;
  want = wanted;
  if
  :: !announced -> sent = NO_CHANGE; goto send
  :: else
  fi;
  /* Read the state back. */
  atomic {
    known = version;
    if
    :: known >= want -> Confirm(known)
    :: else
    fi
  }
  if
  :: known >= want && want == 2 -> goto stopped
  :: known >= want && want != 2 -> (wanted == 2); goto again
  :: else -> sent = want
  fi;
send:
  /* The lease is checked again right before sending. */
  atomic {
    if
    :: MAY_SEND(term) && ROOM -> answer[term] = 0; Put(term, sent)
    :: !(MAY_SEND(term)) -> goto stopped
    fi
  }
  if
  :: answer[term] == 1 ->
    if
    :: sent == NO_CHANGE -> announced = true
    :: else -> atomic { Confirm(sent) }
    fi;
    goto again
  :: answer[term] == 2 -> goto stopped
  :: true ->                 /* the answer is lost */
#ifdef NO_READ_BACK
    if
    :: sent == NO_CHANGE -> announced = true
    :: else -> atomic { Confirm(sent) }
      if
      :: sent == 2 -> goto stopped
      :: else -> (wanted == 2); want = 2; sent = 2; goto send
      fi
    fi;
    goto again
#endif
#ifndef NO_SETTLE_WAIT
    !OWN_IN_FLIGHT(term);
#endif
    goto again
  fi;
stopped:
  ended[term] = true
}

init
{
  if
  :: checks = true
  :: checks = false
  fi;
  run Owner(1);
#ifdef NO_MARGIN
  phase >= 2;
#else
  (phase >= 2 && checks) || phase == 3;
#endif
  run Owner(2);
  (ended[1] && ended[2] && slotTerm[0] == 0 && slotTerm[1] == 0);
  assert(version >= confirmed);
  assert(version == 2)
}
