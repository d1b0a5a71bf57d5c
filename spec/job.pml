/*
 * job: the life of one non-idempotent gang of two parts under schedulers
 * that take over from each other.
 *
 * Records are committed whole, by the scheduler that holds the lease.  Start
 * orders travel for any time and may be lost; an endpoint refuses orders of
 * an epoch below the highest it has seen.
 *
 * PROPERTIES  each part starts at most once, and not after its endpoint
 *             said that it never had it; what was said not to run never
 *             starts; the gang starts under one epoch alone; nothing is
 *             ordered to start after the zone is out
 * FLAGS       NO_INTENT     a start without a recorded intent
 *             RUN_AGAIN     an intent without a result is started again
 *             SAY_NOT_RUN   "not run" is said although there is an intent
 *             NO_FENCE      endpoints take orders of any epoch
 *             IGNORE_OUT    the zone's state is not looked at
 */
#define EPOCHS 3

#ifdef RUN_AGAIN
#define MAY_START true
#else
#define MAY_START (!intent)
#endif
#ifdef IGNORE_OUT
#define ZONE_ALLOWS true
#else
#define ZONE_ALLOWS (!out)
#endif
#ifdef NO_INTENT
#define RECORDS_INTENT false
#else
#define RECORDS_INTENT true
#endif
#ifdef SAY_NOT_RUN
#define MAY_REFUSE true
#else
#define MAY_REFUSE (!intent && !placed)
#endif
#ifdef NO_FENCE
#define TAKES(part, e) true
#else
#define TAKES(part, e) ((e) >= seen[part])
#endif

bool accepted, intent, result, out;
byte intent_epoch;
bool said_not_run;
byte epoch = 1;           /* epoch of the scheduler that holds the lease */
bool placed;              /* the present scheduler is past its decision */
byte order[8];            /* order[part * 4 + epoch]: orders on their way */
byte seen[2];             /* highest epoch an endpoint knows */
byte starts[2], started_epoch[2];
bool ordered_after_out;
bool absent[2];           /* an endpoint said that it never had the part */

inline decide() {
    atomic {
        accepted && !result && !placed && MAY_START && ZONE_ALLOWS ->
            intent = RECORDS_INTENT;
            intent_epoch = epoch;
            placed = true;
            if
            :: out -> ordered_after_out = true
            :: else -> skip
            fi;
            order[epoch] = 1;
            order[4 + epoch] = 1
    }
}

/* A caller cancels, a deadline passes, or the zone refuses. */
inline refuse() {
    atomic {
        accepted && !result && MAY_REFUSE -> result = true; said_not_run = true
    }
}

inline deliver(part, e) {
    atomic {
        order[part * 4 + e] == 1 ->
            order[part * 4 + e] = 0;
            if
            :: TAKES(part, e) ->
                seen[part] = (e > seen[part] -> e : seen[part]);
                starts[part]++;
                started_epoch[part] = e;
                assert(starts[part] <= 1);
                assert(!said_not_run);
                assert(!absent[part]);
                assert(starts[1 - part] == 0 ||
                       started_epoch[0] == started_epoch[1])
            :: else -> skip
            fi
    }
}

inline take_over() {
    atomic {
        epoch < EPOCHS ->
            epoch++;
            placed = false
    }
}

/* A new scheduler asks; one answer of absent ends an intent as unknown. */
inline ask(part) {
    atomic {
        intent && !result && intent_epoch < epoch ->
            seen[part] = (epoch > seen[part] -> epoch : seen[part]);
            if
            :: starts[part] == 0 -> result = true; absent[part] = true
            :: else -> skip
            fi
    }
}

active proctype world() {
    accepted = true;
    do
    :: decide()
    :: refuse()
    :: deliver(0, 1)
    :: deliver(0, 2)
    :: deliver(0, 3)
    :: deliver(1, 1)
    :: deliver(1, 2)
    :: deliver(1, 3)
    :: atomic { order[1] == 1 -> order[1] = 0 }
    :: atomic { order[5] == 1 -> order[5] = 0 }
    :: take_over()
    :: ask(0)
    :: ask(1)
    :: atomic { !out -> out = true }
    :: atomic { assert(!ordered_after_out) }
    od
}
