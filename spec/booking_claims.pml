/* Booking claims: two incarnations of the agent of one upstream, one journal
 * object and one idempotency key that is requested twice. The response to an
 * update may be lost, and an update may fail or take effect late. A process is
 * paused whenever the scheduler does not select it.
 *
 * Variants; each disables one guard:
 *   NO_FENCE       updates do not check the object version
 *   NO_UNKNOWN     a takeover treats an existing claim as absent
 *   RUN_WITHDRAWN  a refused claim is executed if its update succeeds
 *   NO_DUPLICATE   a request with a known key claims again
 */
mtype = { absent, claimed, answered, unknown, written, conflict, lost, failed };

byte version = 1;
byte holder = 0;
mtype entry = absent;
#define LIMIT 5      /* maximum number of updates; bounds the state space */
byte updates = 0;
byte requests = 2;
byte runs = 0;       /* executions counted by the service */
bool refused[4];
byte last_id = 0;    /* id of the last update stored in the object */

/* At most one update takes effect late. */
bool late = false;
byte late_version, late_holder, late_id;
mtype late_entry;

#ifdef NO_FENCE
#define MATCHES(v) true
#else
#define MATCHES(v) (v == version)
#endif

inline update(v, id, who, state, outcome) {
  atomic {
    if
    :: MATCHES(v) ->
      version++; holder = who; entry = state; last_id = id;
      if
      :: outcome = written
      :: outcome = lost
      fi
    :: !MATCHES(v) -> outcome = conflict
    :: outcome = failed /* outage */
    :: !late ->
      late = true; late_version = v; late_holder = who; late_id = id;
      late_entry = state; outcome = lost
    fi
  }
}

active proctype late_update() {
end:
  do
  :: atomic {
      late && late_version != 0 ->
      if
      :: MATCHES(late_version) ->
        version++; holder = late_holder; entry = late_entry; last_id = late_id
      :: true /* lost, or version mismatch */
      fi;
      late_version = 0
    }
  od
}

proctype agent(byte me) {
  byte seen, id = 0, request = 0;
  mtype known = absent, outcome = absent;
  bool owned = false;

read:
  atomic {
    outcome = absent;
    if
    :: holder > me || updates >= LIMIT -> goto stop
    :: else -> skip
    fi;
    seen = version;
    if
    :: id != 0 && last_id == id && owned -> goto confirmed
    :: else -> skip
    fi;
    if
    :: owned && holder == me -> goto serve
    :: else -> skip
    fi;
    known = entry;
    if
    :: known == claimed ->
#ifdef NO_UNKNOWN
      known = absent
#else
      known = unknown
#endif
    :: else -> skip
    fi;
    updates++; id = updates
  };
  update(seen, id, me, known, outcome);
  if
  :: atomic { outcome == written -> seen++; owned = true; id = 0 }
  :: atomic { outcome != written ->
      if
      :: last_id == id -> owned = true; id = 0; seen = version
      :: else -> skip
      fi;
      goto read }
  fi;
serve:
  atomic {
    if
    :: requests > 0 && updates < LIMIT && request == 0 ->
      request = requests; requests--
    :: request != 0 && updates < LIMIT -> skip
    :: else -> goto stop
    fi;
#ifndef NO_DUPLICATE
    if
    :: known != absent -> request = 0; goto serve
    :: else -> skip
    fi;
#endif
    updates++; id = updates
  };
  update(seen, id, me, claimed, outcome);
  /* If the deadline passes before the result is known, the request is refused
   * and its claim withdrawn. */
  atomic {
    if
    :: skip
    :: refused[request] = true;
#ifndef RUN_WITHDRAWN
      request = 0
#endif
    fi;
    if
    :: outcome == written -> seen++
    :: outcome == failed -> id = 0; goto serve
    :: else -> goto read
    fi
  };
confirmed:
  atomic {
    id = 0;
    if
    :: request == 0 -> goto serve
    :: else -> known = claimed
    fi
  };
  /* A pause and a takeover may occur between the claim and the call. */
  atomic {
    runs++;
    assert(runs <= 1);
    assert(!refused[request]);
    request = 0; known = answered;
    if
    :: updates >= LIMIT -> goto stop
    :: else -> updates++; id = 0
    fi
  };
  update(seen, updates, me, answered, outcome);
  if
  :: atomic { outcome == written -> seen++; goto serve }
  :: else -> goto read
  fi;
stop:
  skip
}

init { atomic { run agent(1); run agent(2) } }
