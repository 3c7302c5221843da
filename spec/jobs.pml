/* A job of two items: its owner writes results to numbered positions in the
 * store. A write compares the owner's fencing number and requires that the
 * position is free. It may take effect with or without an answer, take effect
 * late if its comparison still holds, or never. Another process can take over
 * the job at any time by changing the fencing number, and reads the results
 * only after that. The first owner may be paused at any point and resume later.
 *
 * Properties: a result that a reader has seen stays at its position, and no
 * item has two positions.
 */
/* mutants: SHOW_EARLY NO_GUARD NO_SETTLE LOAD_FIRST */
/* Each comparison alone suffices (the properties hold with -DNO_FENCE and with
 * -DNO_POSITION_CHECK); the second guards against faults of the first. */

#ifdef NO_GUARD
#define NO_FENCE
#define NO_POSITION_CHECK
#endif
#ifdef LOAD_FIRST
/* The next owner reads the results before it has taken over the job. */
#define NO_POSITION_CHECK
#endif

#define ITEMS 2
#define PLACES 4

byte fence = 1;           /* fencing number of the current owner */
byte slot[PLACES];        /* 0: free; otherwise 10 * owner + item */
byte shown[PLACES];       /* value that readers have seen; 0: none */

/* The pending write of each owner. */
bool lateSet[3];
byte latePlace[3];
byte lateValue[3];

#define ITEM(value) (value % 10)

inline Apply(number, place, value)
{
#ifdef NO_FENCE
#define FENCED true
#else
#define FENCED (fence == number)
#endif
#ifdef NO_POSITION_CHECK
#define FREE true
#else
#define FREE (slot[place] == 0)
#endif
  done = false;
  if
  :: FENCED && FREE ->
    assert(shown[place] == 0 || shown[place] == value);
    slot[place] = value;
    done = true;
    check = 0;
    do
    :: check < PLACES ->
      assert(check == place || slot[check] == 0 ||
             ITEM(slot[check]) != ITEM(value));
      check++
    :: check == PLACES -> break
    od
  :: !(FENCED && FREE) -> skip
  fi
}

inline Show(place, value)
{
  assert(slot[place] == value);
  assert(shown[place] == 0 || shown[place] == value);
  shown[place] = value
}

/* Reads the results: the next free position and the items present. */
inline Load()
{
  place = 0;
  listed[1] = false;
  listed[2] = false;
  do
  :: place < PLACES && slot[place] != 0 ->
    listed[ITEM(slot[place])] = true;
    place++
  :: place == PLACES || slot[place] == 0 -> break
  od
}

proctype Owner(byte number)
{
  byte place;
  byte value;
  byte check;
  byte tries;
  bool done;
  bool answered;
  bool listed[ITEMS + 1];

  atomic { Load() }
#ifdef LOAD_FIRST
  if
  :: number == 2 -> atomic { fence = 2 }
  :: number == 1 -> skip
  fi;
#endif
next:
  atomic {
    if
    :: place < PLACES && !listed[1] -> value = 10 * number + 1
    :: place < PLACES && !listed[2] -> value = 10 * number + 2
    :: (listed[1] && listed[2]) || place == PLACES -> goto end
    fi
  }
  tries = 0;
write:
#ifdef SHOW_EARLY
  atomic { shown[place] = value }
#endif
  tries++;
  answered = false;
  if
  :: atomic { Apply(number, place, value); answered = true }
  :: atomic { Apply(number, place, value) }        /* the answer is lost */
  :: atomic { lateSet[number] = true;
              latePlace[number] = place; lateValue[number] = value }
  :: skip                                          /* the write is lost */
  fi;
  atomic {
    if
    :: answered && done -> goto written
    :: !answered && tries < 3 -> goto write        /* the same write again */
    :: !answered && tries >= 3 -> goto end         /* paused forever */
    :: answered && !done -> skip
    fi
  }
#ifdef NO_SETTLE
  /* A failed comparison is mistaken for a repeated write. */
  atomic { shown[place] = value; goto written2 }
#endif
  /* Determine why the comparison failed. */
  atomic {
    if
    :: slot[place] == value -> goto written
#ifdef NO_FENCE
    :: slot[place] != value -> Load(); goto next
#else
    :: slot[place] != value -> goto end            /* another owner */
#endif
    fi
  }
written:
  atomic { Show(place, value) }
written2:
  atomic {
    listed[ITEM(value)] = true;
    place++;
    goto next
  }
end:
  skip
}

proctype Takeover()
{
#ifdef LOAD_FIRST
  run Owner(2)
#else
  atomic { fence = 2; run Owner(2) }
#endif
}

proctype LateWrites()
{
  byte check;
  bool done;
end_idle:
  do
  :: atomic { lateSet[1] -> lateSet[1] = false;
              Apply(1, latePlace[1], lateValue[1]) }
  :: atomic { lateSet[2] -> lateSet[2] = false;
              Apply(2, latePlace[2], lateValue[2]) }
  od
}

/* Readers see a result as soon as it is in the store. */
proctype Reader()
{
  byte place = 0;
end_read:
  do
  :: atomic { place < PLACES && slot[place] != 0 ->
              assert(shown[place] == 0 || shown[place] == slot[place]);
              shown[place] = slot[place]; place++ }
  od
}

init
{
  atomic {
    run Owner(1);
    run Takeover();
    run LateWrites();
    run Reader()
  }
}
