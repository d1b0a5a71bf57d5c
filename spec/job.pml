/*
 * job: one non-idempotent gang of two parts, under schedulers that take over
 * from one another.
 *
 * A record is committed atomically, by the scheduler that has the lease.
 * Start commands may be delayed without bound or lost; an endpoint refuses
 * commands of an epoch below the highest that it has seen.
 *
 * PROPERTIES  each part starts at most once, and not after its endpoint has
 *             reported that it never had it; a job reported as not run never
 *             starts; all parts start under the same epoch; no start is
 *             commanded once the zone is out of service
 * FLAGS       each takes out one mechanism; a property must then fail:
 *             NO_INTENT     a start without a recorded intent
 *             RUN_AGAIN     an intent without a result is started again
 *             SAY_NOT_RUN   "not run" is reported although there is an intent
 *             NO_FENCE      endpoints accept commands of any epoch
 *             IGNORE_OUT    the state of the zone is not checked
 */
#define EPOCHS 3

#ifdef RUN_AGAIN
#define MAY_START true
#else
#define MAY_START (!intent)
#endif
#ifdef IGNORE_OUT
#define ZONE_IN_SERVICE true
#else
#define ZONE_IN_SERVICE (!zone_out)
#endif
#ifdef NO_INTENT
#define RECORDS_INTENT false
#else
#define RECORDS_INTENT true
#endif
#ifdef SAY_NOT_RUN
#define MAY_REFUSE true
#else
#define MAY_REFUSE (!intent && !decided)
#endif
#ifdef NO_FENCE
#define ACCEPTS(part, e) true
#else
#define ACCEPTS(part, e) ((e) >= seen_epoch[part])
#endif

bool accepted, intent, result, zone_out;
byte intent_epoch;
bool reported_not_run;
byte epoch = 1;           /* epoch of the scheduler with the lease */
bool decided;             /* this scheduler has decided on the start */
byte command[8];          /* in transit, by part * 4 + epoch */
byte seen_epoch[2];       /* highest epoch that an endpoint has seen */
byte starts[2], started_epoch[2];
bool commanded_after_out;
bool absent[2];           /* an endpoint reported that it never had the part */

inline decide() {
    atomic {
        accepted && !result && !decided && MAY_START && ZONE_IN_SERVICE ->
            intent = RECORDS_INTENT;
            intent_epoch = epoch;
            decided = true;
            if
            :: zone_out -> commanded_after_out = true
            :: else -> skip
            fi;
            command[epoch] = 1;
            command[4 + epoch] = 1
    }
}

/* The client cancels, a deadline passes, or the zone refuses the job. */
inline refuse() {
    atomic {
        accepted && !result && MAY_REFUSE ->
            result = true;
            reported_not_run = true
    }
}

inline deliver(part, e) {
    atomic {
        command[part * 4 + e] == 1 ->
            command[part * 4 + e] = 0;
            if
            :: ACCEPTS(part, e) ->
                seen_epoch[part] =
                    (e > seen_epoch[part] -> e : seen_epoch[part]);
                starts[part]++;
                started_epoch[part] = e;
                assert(starts[part] <= 1);
                assert(!reported_not_run);
                assert(!absent[part]);
                assert(starts[1 - part] == 0 ||
                       started_epoch[0] == started_epoch[1])
            :: else -> skip
            fi
    }
}

inline change_scheduler() {
    atomic {
        epoch < EPOCHS ->
            epoch++;
            decided = false
    }
}

/*
 * A new scheduler queries an endpoint; if it reports the part absent, the
 * intent ends with an unknown result.
 */
inline query(part) {
    atomic {
        intent && !result && intent_epoch < epoch ->
            seen_epoch[part] =
                (epoch > seen_epoch[part] -> epoch : seen_epoch[part]);
            if
            :: starts[part] == 0 -> result = true; absent[part] = true
            :: else -> skip
            fi
    }
}

active proctype system() {
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
    :: atomic { command[1] == 1 -> command[1] = 0 }
    :: atomic { command[5] == 1 -> command[5] = 0 }
    :: change_scheduler()
    :: query(0)
    :: query(1)
    :: atomic { !zone_out -> zone_out = true }
    :: atomic { assert(!commanded_after_out) }
    od
}
