/* Orders from two incarnations of an agent to its engine. Delivery of an order
 * is delayed, and its response may be lost. With `CHECKED` the engine rejects
 * stale tokens; otherwise a new incarnation waits until old orders expire.
 *
 * Variants:
 *   CHECKED               the engine checks tokens; must hold
 *   CHECKED_NO_TOKEN      the engine of CHECKED ignores the token
 *   NO_EXPIRY_WAIT        a new incarnation does not wait for expiry
 *   NO_FENCE_READ         an order is sent without reading the fence first
 */
#ifdef CHECKED_NO_TOKEN
#define CHECKED
#endif

byte fence = 0;          /* token stored by the platform */
byte highest = 0;        /* token of the last order applied */
byte in_flight[3];       /* undelivered orders per incarnation */
byte sent = 0;

/* Time is abstract: an expired order can no longer be applied. */
proctype engine() {
end:
  do
  :: atomic { in_flight[1] > 0 -> in_flight[1]--;
#if defined(CHECKED) && !defined(CHECKED_NO_TOKEN)
      if
      :: highest <= 1 -> highest = 1
      :: else -> skip
      fi
#else
      assert(highest <= 1); highest = 1
#endif
    }
  :: atomic { in_flight[2] > 0 -> in_flight[2]--; highest = 2 }
  :: atomic { in_flight[1] > 0 -> in_flight[1]-- } /* lost or expired */
  :: atomic { in_flight[2] > 0 -> in_flight[2]-- }
  od
}

proctype agent(byte me) {
  /* The conditional update fails if a later incarnation holds the fence. */
  atomic {
    if
    :: fence < me -> fence = me
    :: else -> goto stop
    fi
  };
#if !defined(CHECKED) && !defined(NO_EXPIRY_WAIT)
  (me == 1 || in_flight[1] == 0);
#endif
  do
  :: sent < 6 ->
#if defined(CHECKED) || defined(NO_FENCE_READ)
    atomic { in_flight[me] == 0 -> in_flight[me]++; sent++ }
#else
    /* The expiry of an order is measured from the start of the read, so the
     * read and the order are atomic with respect to the new incarnation's
     * wait. */
    atomic {
      if
      :: fence != me -> goto stop
      :: fence == me && in_flight[me] == 0 -> in_flight[me]++; sent++
      fi
    }
#endif
  :: break
  od;
stop:
  skip
}

init { atomic { run engine(); run agent(1); run agent(2) } }
