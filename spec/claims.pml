/* Claims of one idempotency key: a caller sends the same request to several
 * instances that share only the store. A request is executed only after its
 * claim, a record created if absent, is confirmed: by the answer to the write,
 * or by reading the record back and finding its own token.
 *
 * The store may apply a write and lose the answer, apply it late, or never.
 * A refused send releases its claim; the release may arrive late and twice,
 * and applies only to its own token. A record expires after a window much
 * longer than any deadline, so a request sent before the expiry is past its
 * deadline after it. A process may stop at any point (crash or pause).
 *
 * Property, at most once: no interleaving executes the request twice.
 */
/* mutants: NO_READ_BACK NO_CLAIM RETRY_AFTER_SEND NO_DEADLINE BLIND_RELEASE */

#define SENDS 3
#define TRIES 2

byte record = 0;            /* token of the claimant; 0: absent */
byte delayed[SENDS + 1];    /* pending writes of a token */
byte releases[SENDS + 1];   /* pending releases of a token */
byte runs = 0;
bool expired = false;

inline Create(token)
{
  record = (record == 0 -> token : record)
}

inline Run()
{
  atomic {
    if
#ifdef NO_DEADLINE
    :: true -> runs++
#else
    :: !expired -> runs++
    :: expired -> skip
#endif
    fi;
    assert(runs <= 1)
  }
#ifdef RETRY_AFTER_SEND
  /* The upstream's answer is lost and the request is sent again. */
  runs++;
  assert(runs <= 1)
#endif
}

proctype Send(byte token)
{
  byte tries = 0;
  bool answered;
  bool won;

#ifdef NO_CLAIM
  goto execute;
#endif
claim:
  answered = false;
  won = false;
  tries++;
  if
  :: atomic { Create(token); answered = true; won = (record == token) }
  :: atomic { Create(token) }
  :: delayed[token]++
  :: skip
  fi;
  if
  :: answered && won -> goto execute
  :: !(answered && won) -> skip
  fi;
#ifdef NO_READ_BACK
  if
  :: !answered -> goto execute
  :: answered -> skip
  fi;
#endif
  atomic {
    if
    :: record == token -> goto execute
    :: record == 0 && tries < TRIES -> goto claim
    :: record != token && (record != 0 || tries >= TRIES) -> goto refused
    fi
  }
execute:
  if
  :: Run(); goto end
  :: goto refused              /* confirmed not executed, or too late */
  fi;
refused:
  releases[token] = 2;
end:
  skip
}

#ifdef BLIND_RELEASE
#define Released(token) 0
#else
#define Released(token) (record == token -> 0 : record)
#endif

/* Writes and releases of one token that reach the store late. */
#define Late(token) \
  :: atomic { delayed[token] > 0 -> delayed[token]--; Create(token) } \
  :: atomic { releases[token] > 0 -> releases[token]--; \
       record = Released(token) }

proctype StoreSide()
{
end_idle:
  do
  Late(1)
  Late(2)
  Late(3)
  :: atomic { !expired && record != 0 -> record = 0; expired = true }
  od
}

init
{
  atomic {
    run Send(1);
    run Send(2);
    run Send(3);
    run StoreSide()
  }
}
