/* The report of one window of customers' use. Holder 1 may be paused at any
 * step and learn of the loss of its lease late; holder 2 takes over. What each
 * of them counts may differ, as gateways may have told one of them more. A
 * settling write compares the lease and that the window is not settled; its
 * answer may be lost, and it may take effect late. A report may be carried out
 * late, after those of the later holder, and its answer be lost.
 *
 * The platform, which refuses a lower fencing number, accepts one count of the
 * window only.
 */
/* mutants: NO_SETTLE SEND_OWN_COUNT NO_ABSENT_COMPARE SEND_BEFORE_ANSWER */

#define NONE 0

byte settled = NONE;       /* the count in the store */
byte lease = 1;            /* the holder by the store */
byte accepted = NONE;      /* the count that the platform took */
byte fence = 0;            /* the highest number that the platform saw */
/* Two settling writes and two reports may be under way for each holder, in the
 * places 1 and 2 of the first and 4 and 5 of the second. */
byte writing[6];           /* the count of a write under way */
byte sending[6];           /* the count of a report under way */

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

/* Carries out writes and reports in any order, however late. */
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
  /* Settles. An answer that is lost is made up for by reading; what is not
   * there yet is written again, by then with what gateways told meanwhile. */
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
  /* Sends, and again if the answer is lost. */
  sending[place] = known;
  if
  :: sending[place + 1] = known
  :: skip
  fi
}

/* The lease goes over at any time. */
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
