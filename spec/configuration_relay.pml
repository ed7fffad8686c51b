/* Configuration relay (I7). Process 0 watches the platform; all three processes
 * request bodies from each other. Messages may be lost, duplicated, delayed and
 * corrupted; a restart clears the memory of a process. The platform is slow but
 * always responds. An outage during a restart is not modelled: a process then
 * uses the highest revision of its peers, which may be lower than the one that
 * it used before.
 *
 * Variants; each disables one guard:
 *   NO_REVISION_CHECK  a lower revision replaces a higher one
 *   NO_DIGEST_CHECK    a corrupted body is used
 *   NO_START_HOLD      a restarted process uses a body from a peer before the
 *                      platform has responded
 *   NO_RETRY           a request without a response is never retried
 */
#define LAST_REVISION 2

mtype = {request, body};
/* Kind, sender, revision, intact. */
chan inbox[3] = [2] of {mtype, byte, byte, bool};

byte accepted = 1;           /* revision stored by the platform */
byte known[3];               /* revision whose body is known */
byte highest_used[3];        /* by any incarnation; for assertions only */
bool platform_answered[3];   /* since the last start */
bool waiting[3];             /* for the response to a request */
byte faults = 2;
byte restarts = 1;

inline use() {
  if
#ifndef NO_START_HOLD
  :: !platform_answered[me] -> skip
  :: platform_answered[me] ->
#else
  :: true ->
#endif
     assert(known[me] >= highest_used[me]);
     highest_used[me] = known[me]
  fi
}

/* Resets dead variables to reduce the number of states. */
inline forget() {
  from = 0;
  revision = 0;
  intact = false
}

inline read_platform() {
  platform_answered[me] = true;
  if
  :: accepted > known[me] -> known[me] = accepted
  :: else
  fi;
  use()
}

inline handle_body() {
  waiting[me] = false;
  if
#ifndef NO_DIGEST_CHECK
  :: !intact -> skip
#endif
#ifndef NO_REVISION_CHECK
  :: revision <= known[me] -> skip
#endif
  :: else ->
     assert(intact);
     known[me] = revision;
     use()
  fi;
  forget()
}

inline request_from(other) {
  inbox[other]!request(me, known[me], true);
  waiting[me] = true
}

proctype process(byte me) {
  byte from;
  byte revision;
  bool intact;
end:
  do
  :: atomic { !platform_answered[me] -> read_platform() }
  :: atomic {
       me == 0 && platform_answered[me] && accepted > known[me] ->
       read_platform()
     }
  :: atomic {
       !waiting[me] && known[(me + 1) % 3] > known[me] &&
       nfull(inbox[(me + 1) % 3]) -> request_from((me + 1) % 3)
     }
  :: atomic {
       !waiting[me] && known[(me + 2) % 3] > known[me] &&
       nfull(inbox[(me + 2) % 3]) -> request_from((me + 2) % 3)
     }
  :: atomic {
       inbox[me]?request(from, revision, intact) ->
       if
       :: known[me] > revision && nfull(inbox[from]) ->
          if
          :: inbox[from]!body(me, known[me], true)
          :: faults > 0 -> faults--; inbox[from]!body(me, known[me], false)
          fi
       :: known[me] <= revision || full(inbox[from])
       fi;
       forget()
     }
  :: atomic { inbox[me]?body(from, revision, intact) -> handle_body() }
  :: atomic { /* duplicate: handled, but left in the channel */
       faults > 0 && inbox[me]?[body(from, revision, intact)] ->
       faults--;
       inbox[me]?<body(from, revision, intact)>;
       handle_body()
     }
  :: atomic { /* lost */
       faults > 0 && nempty(inbox[me]) ->
       faults--;
       if
       :: inbox[me]?request(from, revision, intact)
       :: inbox[me]?body(from, revision, intact)
       fi;
       forget()
     }
#ifndef NO_RETRY
  :: atomic { /* request timeout */
       waiting[me] && empty(inbox[0]) && empty(inbox[1]) && empty(inbox[2]) ->
       waiting[me] = false
     }
#endif
  :: atomic {
       restarts > 0 ->
       restarts--;
       known[me] = 0;
       platform_answered[me] = false;
       waiting[me] = false
     }
  od
}

init {
  atomic { run process(0); run process(1); run process(2) }
  do
  :: accepted < LAST_REVISION -> accepted++
  :: timeout -> break
  od;
  /* Quiescent state: the newest revision is in force in every process. */
  assert(accepted == LAST_REVISION);
  assert(known[0] == accepted && known[1] == accepted && known[2] == accepted);
  assert(highest_used[0] == accepted && highest_used[1] == accepted &&
         highest_used[2] == accepted)
}
