/* Shares of the slots of one upstream between two processes whose demand comes
 * and goes. Each decides by the news of the other, which arrives a tick late
 * and may be lost; what still holds is told again. Slots that the other wanted
 * lately count as wanted until it has told, a tick or more after the own demand
 * rose, that it wants none; only then they are lent.
 *
 * Properties: calls exceed the room only until a rise of demand has been told;
 * and not at all if two processes that know of each other's earlier demand want
 * slots again at the same moment.
 */
/* mutants: NO_MEMORY TOLD_ONCE */

#define ROOM 4
#define SHARE 2
#define MEMORY 4           /* ticks for which demand is remembered */
#define SETTLE 1           /* ticks after the own rise before slots are lent */
#define TOLD 2             /* ticks until news has arrived, one loss included */
#define LONG 7             /* ticks are counted up to this many */

byte want[2];
byte held[2];
byte sinceRise[2] = { LONG, LONG };
bool warm[2];              /* its earlier demand is remembered at its rise */
byte known[2];             /* what a process knows the other to want */
byte knownAge[2] = { LONG, LONG };
byte sinceKnown[2] = { LONG, LONG };  /* since the other was known to want */
bool inFlight[2];          /* news to the other */
byte news[2];
byte lost[2];              /* news lost in a row */
byte told[2] = { LONG, LONG };        /* what was told last */

inline Older(ticks)
{
  if
  :: ticks < LONG -> ticks++
  :: else
  fi
}

inline Deliver(i)
{
  if
  :: inFlight[i] ->
    inFlight[i] = false;
    if
    :: known[1 - i] = news[i];
       knownAge[1 - i] = 1;
       lost[i] = 0;
       if
       :: news[i] -> sinceKnown[1 - i] = 1
       :: else
       fi
    :: lost[i] == 0 -> lost[i] = 1
    fi
  :: else
  fi
}

inline ChangeDemand(i)
{
  if
  :: skip
  :: want[i] -> want[i] = 0
  :: !want[i] ->
    want[i] = 1;
    sinceRise[i] = 0;
    warm[i] = (sinceKnown[1 - i] <= MEMORY)
  fi
}

inline Hold(i)
{
  byte wantedByOther = known[i];
#ifndef NO_MEMORY
  if
  :: sinceKnown[i] <= MEMORY && knownAge[i] + SETTLE > sinceRise[i] ->
    wantedByOther = 1
  :: else
  fi;
#endif
  held[i] = (want[i] -> (wantedByOther -> SHARE : ROOM) : 0)
}

inline Tell(i)
{
  if
#ifdef TOLD_ONCE
  :: told[i] != want[i] ->
#else
  :: true ->
#endif
    inFlight[i] = true;
    news[i] = want[i];
    told[i] = want[i]
#ifdef TOLD_ONCE
  :: else
#endif
  fi
}

inline PassTime(i)
{
  Older(sinceRise[i]);
  Older(knownAge[i]);
  Older(sinceKnown[i])
}

active proctype Time()
{
end:
  do
  :: atomic {
      Deliver(0);
      Deliver(1);
      ChangeDemand(0);
      ChangeDemand(1);
      Hold(0);
      Hold(1);
      assert(held[0] + held[1] <= ROOM || sinceRise[0] <= TOLD ||
             sinceRise[1] <= TOLD);
      assert(held[0] + held[1] <= ROOM || sinceRise[0] > 0 ||
             sinceRise[1] > 0 || !warm[0] || !warm[1]);
      Tell(0);
      Tell(1);
      PassTime(0);
      PassTime(1)
    }
  od
}
