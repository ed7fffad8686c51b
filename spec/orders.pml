/* Orders to an engine from two incarnations of its agent. An order travels for
 * some time and may lose its answer. `CHECKED` is an engine that refuses a stale
 * token; otherwise a new incarnation waits until old orders have expired.
 *
 * Variants:
 *   CHECKED               engine that checks tokens; must hold
 *   CHECKED_NO_TOKEN      the engine of CHECKED ignores the token
 *   NO_EXPIRY_WAIT        a new incarnation does not wait
 *   NO_FENCE_READ         an order is sent without reading the fence
 */
#ifdef CHECKED_NO_TOKEN
#define CHECKED
#endif

byte fence = 0;          /* token in the platform */
byte highest = 0;        /* token of the last order applied */
byte in_flight[3];       /* orders on the way, for each incarnation */
byte sent = 0;

/* Time is abstract: an expired order is one that can't be applied any more. */
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
  /* The conditional update fails when a later incarnation holds the fence. */
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
    /* The order expires a fixed time after the read began, so that read and
     * order are one step with regard to the new incarnation's wait. */
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
