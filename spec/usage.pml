/* The usage report of one window. Holder 1 may be paused at any step and detect
 * the loss of its lease late; holder 2 takes over. Their counts may differ, as
 * gateways may have reported more to one of them. A write that settles the
 * window compares the lease and requires that the window is not yet settled;
 * its answer may be lost, and it may take effect late. A report may be
 * processed late, after those of the later holder, and its answer may be lost.
 *
 * Property: the platform, which refuses a lower fencing number, accepts only
 * one count for the window.
 */
/* mutants: NO_SETTLE SEND_OWN_COUNT NO_ABSENT_COMPARE SEND_BEFORE_ANSWER */

#define NONE 0

byte settled = NONE;       /* count in the store */
byte lease = 1;            /* holder according to the store */
byte accepted = NONE;      /* count that the platform accepted */
byte fence = 0;            /* highest fencing number that the platform received */
/* Each holder may have two settling writes and two reports in flight, at
 * indices 1 and 2 for holder 1 and 4 and 5 for holder 2. */
byte writing[6];           /* count of a write in flight */
byte sending[6];           /* count of a report in flight */

inline TakeWrite(i, h)
{
  atomic {
    writing[i] != NONE ->
    if
#ifdef NO_ABSENT_COMPARE
    :: lease == h -> settled = writing[i]
    :: else
#else
    :: lease == h && settled == NONE -> settled = writing[i]
    :: else
#endif
    fi;
    writing[i] = NONE
  }
}

inline TakeReport(i, h)
{
  atomic {
    sending[i] != NONE ->
    if
    :: h >= fence ->
      fence = h;
      assert(accepted == NONE || accepted == sending[i]);
      accepted = sending[i]
    :: else
    fi;
    sending[i] = NONE
  }
}

/* Delivers writes and reports in any order and with any delay. */
active proctype Network()
{
end:
  do
  :: TakeWrite(1, 1)
  :: TakeWrite(2, 1)
  :: TakeWrite(4, 2)
  :: TakeWrite(5, 2)
  :: TakeReport(1, 1)
  :: TakeReport(2, 1)
  :: TakeReport(4, 2)
  :: TakeReport(5, 2)
  od
}

proctype Holder(byte me; byte first; byte second)
{
  byte known;
  byte own = first;
  byte place = (me == 1 -> 1 : 4);
end_waits:
  lease == me;
  if
  :: own = second
  :: skip
  fi;
#ifdef NO_SETTLE
  known = own;
#else
  /* Settles the window. After a lost answer the holder reads the window back
   * and, if it is not settled, writes again, with a count that may include later
   * reports of gateways. */
  atomic {
    if
    :: settled == NONE -> writing[place] = own
    :: else
    fi
  };
  if
  :: atomic { settled == NONE -> writing[place + 1] = second }
  :: skip
  fi;
#ifdef SEND_BEFORE_ANSWER
  known = own;
#else
end_settles:
  settled != NONE;
#ifdef SEND_OWN_COUNT
  known = own;
#else
  known = settled;
#endif
#endif
#endif
  /* Sends the report, and repeats it if the answer is lost. */
  sending[place] = known;
  if
  :: sending[place + 1] = known
  :: skip
  fi
}

/* The lease may pass to holder 2 at any time. */
active proctype Store()
{
  run Holder(1, 1, 2);
  run Holder(2, 2, 3);
end:
  if
  :: lease = 2
  :: skip
  fi
}
