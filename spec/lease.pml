/*
 * lease: elections and leases of three members, with early votes.
 *
 * Time passes in ticks; what remains of a lease, of the time in which a member
 * protects one, and of its hold-off after a start, is counted down.  A member
 * may do nothing for any time, as if frozen or cut off, and may restart at any
 * time; it keeps its term and vote.  A reply arrives at any time after it was
 * sent, or never.  A heartbeat is received as it is sent: any later, and its
 * receiver would protect the lease for longer.
 *
 * PROPERTY  at most one leader holds a valid lease
 * FLAGS     each takes out one mechanism, and the property must then fail:
 *           NO_ALL_VOTES  an early vote counts towards a majority as any other
 *           EARLY_LEASE   an early vote counts as the grant of a lease
 *           NO_HOLDOFF    a member that has restarted gives full votes
 */
#define N 3
#ifndef TERMS
#define TERMS 3
#endif
#define LEASE 2
#define TIMEOUT 3
#define ALL 7

#define FULL 1
#define EARLY 2

byte term[N], vote[N];        /* vote: N for none */
bool leads[N], stands[N];
byte holdoff[N], protects[N]; /* what remains, in ticks */
byte requested[N];            /* of a lease from the request for votes on */
bool early[N];                /* an early vote was counted */
byte votes[N];                /* mask of the votes counted */
byte binding[N];              /* those of them that grant a lease */
byte reply[9];                /* reply[c * N + v]: a vote on its way */
byte granted[9];              /* granted[l * N + v]: what remains of a lease */
byte answer[9];               /* likewise, in an answer on its way */

#define AT(a, b) ((a) * N + (b))
#define HAS_MAJORITY(mask) \
    ((mask) == 3 || (mask) == 5 || (mask) == 6 || (mask) == ALL)
#define LEASE_MASK(l) \
    ((1 << (l)) | (granted[AT(l, 0)] > 0) | ((granted[AT(l, 1)] > 0) << 1) | \
     ((granted[AT(l, 2)] > 0) << 2))
#define HOLDS_LEASE(l) (leads[l] && HAS_MAJORITY(LEASE_MASK(l)))
#define MAY_VOTE(v) (!HOLDS_LEASE(v) && protects[v] == 0)
#ifdef NO_HOLDOFF
#define IS_EARLY(v) false
#else
#define IS_EARLY(v) (holdoff[v] > 0)
#endif
#ifdef NO_ALL_VOTES
#define WINS(c) HAS_MAJORITY(votes[c])
#else
#define WINS(c) (HAS_MAJORITY(votes[c]) && (!early[c] || votes[c] == ALL))
#endif

inline check() {
    assert(HOLDS_LEASE(0) + HOLDS_LEASE(1) + HOLDS_LEASE(2) <= 1)
}

/* What a member that follows, or begins anew, forgets. */
inline clear(m) {
    leads[m] = false;
    stands[m] = false;
    early[m] = false;
    votes[m] = 0;
    binding[m] = 0;
    requested[m] = 0;
    reply[AT(m, 0)] = 0; reply[AT(m, 1)] = 0; reply[AT(m, 2)] = 0;
    answer[AT(m, 0)] = 0; answer[AT(m, 1)] = 0; answer[AT(m, 2)] = 0;
    granted[AT(m, 0)] = 0; granted[AT(m, 1)] = 0; granted[AT(m, 2)] = 0
}

inline adopt(m, t) {
    term[m] = t;
    vote[m] = N;
    clear(m)
}

inline stand(c) {
    atomic {
        !leads[c] && MAY_VOTE(c) && term[c] < TERMS ->
            adopt(c, term[c] + 1);
            vote[c] = c;
            stands[c] = true;
            early[c] = IS_EARLY(c);
            votes[c] = 1 << c;
            requested[c] = LEASE
    }
}

/* An early vote binds nobody; a full one protects the lease that it grants. */
inline grant(c, v) {
    atomic {
        stands[c] && MAY_VOTE(v) && (term[v] < term[c] ||
            (term[v] == term[c] && (vote[v] == N || vote[v] == c))) ->
            if
            :: term[v] < term[c] -> adopt(v, term[c])
            :: else -> skip
            fi;
            vote[v] = c;
            if
            :: IS_EARLY(v) -> reply[AT(c, v)] = EARLY
            :: else -> reply[AT(c, v)] = FULL; protects[v] = TIMEOUT
            fi
    }
}

inline count_vote(c, v) {
    atomic {
        stands[c] && reply[AT(c, v)] != 0 ->
            votes[c] = votes[c] | (1 << v);
            if
            :: reply[AT(c, v)] == EARLY ->
                early[c] = true;
#ifdef EARLY_LEASE
                binding[c] = binding[c] | (1 << v)
#endif
            :: else -> binding[c] = binding[c] | (1 << v)
            fi;
            reply[AT(c, v)] = 0
    }
}

inline win(c) {
    atomic {
        stands[c] && WINS(c) ->
            stands[c] = false;
            leads[c] = true;
            granted[AT(c, 0)] = ((binding[c] & 1) -> requested[c] : 0);
            granted[AT(c, 1)] = ((binding[c] & 2) -> requested[c] : 0);
            granted[AT(c, 2)] = ((binding[c] & 4) -> requested[c] : 0);
            votes[c] = 0; binding[c] = 0; early[c] = false; requested[c] = 0;
            reply[AT(c, 0)] = 0; reply[AT(c, 1)] = 0; reply[AT(c, 2)] = 0;
            check()
    }
}

inline heartbeat(l, v) {
    atomic {
        leads[l] && term[v] <= term[l] ->
            if
            :: term[v] < term[l] -> adopt(v, term[l])
            :: else -> clear(v)
            fi;
            protects[v] = TIMEOUT;
            answer[AT(l, v)] = LEASE
    }
}

inline receive_answer(l, v) {
    atomic {
        leads[l] && answer[AT(l, v)] > granted[AT(l, v)] ->
            granted[AT(l, v)] = answer[AT(l, v)];
            answer[AT(l, v)] = 0;
            check()
    }
}

inline restart(m) {
    atomic {
        (leads[m] || stands[m] || protects[m] > 0 || holdoff[m] < TIMEOUT) ->
            clear(m);
            protects[m] = 0;
            holdoff[m] = TIMEOUT
    }
}

#define LESS(x) x = (x > 0 -> x - 1 : 0)

inline tick() {
    atomic {
        k = 0;
        do
        :: k < N ->
            LESS(holdoff[k]); LESS(protects[k]); LESS(requested[k]); k++
        :: else -> break
        od;
        k = 0;
        do
        :: k < N * N -> LESS(granted[k]); LESS(answer[k]); k++
        :: else -> break
        od;
        k = 0
    }
}

active proctype system() {
    byte k;

    d_step { vote[0] = N; vote[1] = N; vote[2] = N }
    do
    :: stand(0) :: stand(1) :: stand(2)
    :: grant(0, 1) :: grant(0, 2) :: grant(1, 0)
    :: grant(1, 2) :: grant(2, 0) :: grant(2, 1)
    :: count_vote(0, 1) :: count_vote(0, 2) :: count_vote(1, 0)
    :: count_vote(1, 2) :: count_vote(2, 0) :: count_vote(2, 1)
    :: win(0) :: win(1) :: win(2)
    :: heartbeat(0, 1) :: heartbeat(0, 2) :: heartbeat(1, 0)
    :: heartbeat(1, 2) :: heartbeat(2, 0) :: heartbeat(2, 1)
    :: receive_answer(0, 1) :: receive_answer(0, 2) :: receive_answer(1, 0)
    :: receive_answer(1, 2) :: receive_answer(2, 0) :: receive_answer(2, 1)
    :: restart(0) :: restart(1) :: restart(2)
    :: tick()
    od
}
