/* Response assembly for two attempts of one request with three parts each.
 * Parts may be reordered, duplicated or lost. Attempt 1 runs on version 1,
 * attempt 2 on version 1 or 2. Attempt 1 may arrive after a fate query has
 * refused it.
 *
 * Variants:
 *   NO_VERSION_CHECK  parts of any version are forwarded
 *   NO_ATTEMPT_CHECK  late parts of a superseded attempt are accepted
 *   NO_OFFSET_CHECK   parts are forwarded in order of arrival
 *   NO_REFUSAL        a fate query does not record the refusal
 */
byte attempt = 1;        /* current attempt */
byte next = 0;           /* offset of the next part for the caller */
byte answer = 0;         /* version of the forwarded parts; 0: none */
byte versions[3];
bool arrived = false, refused = false, reported = false;

inline receive(a, v, o) {
#ifndef NO_ATTEMPT_CHECK
  if
  :: a != attempt -> goto again
  :: else -> skip
  fi;
#endif
#ifndef NO_OFFSET_CHECK
  if
  :: o != next -> goto again
  :: else -> skip
  fi;
#endif
#ifndef NO_VERSION_CHECK
  if
  :: answer != 0 && answer != v -> goto again
  :: else -> skip
  fi;
#endif
  assert(o == next);
  assert(answer == 0 || answer == v);
  assert(a == attempt);
  answer = v;
  next++
}

active proctype agent_of_first() {
  /* The attempt may arrive after the fate query. */
  atomic {
    if
    :: !refused -> arrived = true; assert(!reported)
    :: refused -> skip
    fi
  }
}

active proctype entry() {
  byte a, o;
again:
  do
  :: atomic { next < 3 ->
      select(a : 1 .. 2); select(o : 0 .. 2);
      if
      :: a == 1 && !arrived -> goto again
      :: a == 2 && attempt < 2 -> goto again
      :: else -> skip
      fi;
      receive(a, versions[a], o) }
  :: atomic { attempt == 1 -> /* lost: query its fate, then resume elsewhere */
      if
      :: !arrived ->
#ifndef NO_REFUSAL
        refused = true;
#endif
        reported = true /* not run */
      :: else -> skip
      fi;
      attempt = 2 }
  :: break
  od
}

init {
  atomic {
    versions[1] = 1;
    if
    :: versions[2] = 1
    :: versions[2] = 2
    fi
  }
}
