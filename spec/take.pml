/* Takes of one step: every sample reaches the trainer exactly once.
 *
 * Requests may reach either owner at any time, which covers a change of owner,
 * an owner that is paused beyond its lease and resumes, and two concurrent
 * owners. Requests and answers are lost, answers arrive late, an owner crashes.
 * The trainer's protocol: one take at a time; only the answer to the latest
 * take is accepted; each take lists the samples that the trainer has; the step
 * is opened again when an owner reports it as closed.
 * The trainer does not check for duplicates; the protocol must prevent them.
 */
/* mutants: NO_HELD_SET ACCEPT_OLD_ANSWER TWO_TAKES NO_REOPEN */

#define OWNERS 2
#define ALL 3 /* two samples, as a set of bits */
/* Sufficient number of takes in all cases; more mean that a sample was lost. */
#define MOST_TAKES 14

#ifdef ACCEPT_OLD_ANSWER
#define PRESENT true
#else
#define PRESENT (got == number)
#endif

chan request[OWNERS] = [3] of { byte, byte, bool }; /* number, held, open */
chan answer[OWNERS] = [4] of { byte, byte, bool }; /* number, samples, closed */

byte losses = 2;
byte late = 2;
byte crashes = 1;

proctype Owner(byte me)
{
  byte number, theirs, give, ready;
  bool isOpen, opens;
#ifdef NO_HELD_SET
  byte delivered;
#endif
  end:
  do
  :: atomic { isOpen && !(ready & 1) -> ready = ready | 1 }
  :: atomic { isOpen && !(ready & 2) -> ready = ready | 2 }
  :: atomic { isOpen && crashes > 0 ->
       crashes--; isOpen = false; ready = 0;
#ifdef NO_HELD_SET
       delivered = 0;
#endif
     }
  :: atomic { losses > 0 && nempty(request[me]) ->
       request[me]?number, theirs, opens; losses--;
       number = 0; theirs = 0; opens = false }
  :: atomic { request[me]?number, theirs, opens ->
       isOpen = isOpen || opens;
       if
       :: !isOpen -> answer[me]!number, 0, true
       :: else ->
#ifdef NO_HELD_SET
         theirs = delivered;
#endif
         give = ready & (ALL - (ready & theirs));
         if
         :: give == 0 && theirs != ALL -> /* the long poll waits for a sample */
           give = ALL - theirs; ready = ready | give
         :: else
         fi;
         if
         :: give == ALL -> give = 1
         :: true
         fi;
#ifdef NO_HELD_SET
         delivered = delivered | give;
#endif
         if
         :: losses > 0 -> losses--
         :: answer[me]!number, give, false
         fi
       fi;
       number = 0; theirs = 0; give = 0; opens = false }
  od
}

active proctype Trainer()
{
  byte number, got, samples, held;
  bool closed, opens = true;
  run Owner(0);
  run Owner(1);
  do
  :: held == ALL -> break
  :: else ->
    number++;
    assert(number <= MOST_TAKES);
    if
    :: request[0]!number, held, opens
    :: request[1]!number, held, opens
    fi;
#ifdef TWO_TAKES
    if
    :: request[0]!number, held, opens
    :: request[1]!number, held, opens
    fi;
#endif
    do
    :: atomic {
         if
         :: answer[0]?got, samples, closed
         :: answer[1]?got, samples, closed
         fi;
         if
         :: !PRESENT -> skip
         :: PRESENT && closed ->
#ifndef NO_REOPEN
           opens = true;
#endif
           break
         :: PRESENT && !closed ->
           assert((samples & held) == 0);
           held = held | samples;
           opens = false;
#ifdef TWO_TAKES
           if
           :: held == ALL -> break
           :: else -> skip
           fi
#else
           break
#endif
         fi }
    :: atomic { late > 0 -> late--; break } /* times out too early */
    :: timeout -> break
    od
  od;
  assert(held == ALL)
}
