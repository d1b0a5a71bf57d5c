/*
 * log: the replicated log of three members with disks, in short.
 *
 * Steps are whole exchanges: an election asks a set of members at once, a
 * replication copies one entry to one member.  A member may crash between
 * storing and syncing, and may lose its disk; it then counts for nothing
 * until the leader has brought it up to date and a quorum of the
 * configuration before it holds the admission.
 *
 * A leader that was cut off goes on as the stale one until it hears of a
 * later term: it copies its log to members that have not, and may admit.
 *
 * PROPERTY  whoever is elected holds every committed entry
 * FLAGS     each leaves one guard out, and the property must then fail:
 *           NO_ADMIT      an empty member counts at once
 *           NO_COMPARE    votes are given without comparing logs
 *           NO_SYNC       an entry is acknowledged before it is synced
 *           NO_OLD_QUORUM a member is admitted without the old quorum
 */
#define N 3
#ifndef TERMS
#define TERMS 3
#endif
#define LENGTH 2

byte term[N], length[N], synced[N];
byte entry[6];            /* entry[i * LENGTH + k]: term of entry k */
bool up[N], admitted[N];
byte leader, leader_term; /* leader: N when there is none */
byte stale, stale_term;   /* the leader before it; N when there is none */
byte committed;           /* entries known to be committed */
byte committed_term[LENGTH];
byte losses;

#define LAST(i) (length[i] == 0 -> 0 : entry[(i) * LENGTH + length[i] - 1])
#define NEWER(a, b) (LAST(a) > LAST(b) || \
                     (LAST(a) == LAST(b) && length[a] >= length[b]))
#ifdef NO_ADMIT
#define COUNTS(i) (up[i])
#else
#define COUNTS(i) (up[i] && admitted[i])
#endif
#ifdef NO_COMPARE
#define GRANTS(i, c) (COUNTS(i) && term[i] < t)
#else
#define GRANTS(i, c) (COUNTS(i) && term[i] < t && NEWER(c, i))
#endif
#ifdef NO_SYNC
#define HELD(i, k) (COUNTS(i) && length[i] > k && same(i, k))
#else
#define HELD(i, k) (COUNTS(i) && synced[i] > k && same(i, k))
#endif
#define alike(l, i, k) (entry[(i) * LENGTH + (k)] == entry[(l) * LENGTH + (k)])
#define same(i, k) alike(leader, i, k)

/* the third member, beside the leader l and the one to be admitted */
#define THIRD(l, f) (3 - (l) - (f))
#ifdef NO_OLD_QUORUM
#define OLD_AGREES(l, lt, f) true
#else
#define OLD_AGREES(l, lt, f) \
    (COUNTS(l) && COUNTS(THIRD(l, f)) && \
     term[THIRD(l, f)] == lt && \
     synced[THIRD(l, f)] == length[l] && \
     length[THIRD(l, f)] == length[l] && \
     (length[f] == 0 || alike(l, THIRD(l, f), length[f] - 1)))
#endif

inline check(c) {
    d_step {
        k = 0;
        do
        :: k < committed ->
            assert(length[c] > k &&
                   entry[c * LENGTH + k] == committed_term[k]);
            k++
        :: else -> break
        od;
        k = 0
    }
}

inline elect(c, v) {
    atomic {
        t = term[c] + 1;
        if
        :: t < TERMS && COUNTS(c) && GRANTS(v, c) ->
            term[c] = t;
            term[v] = t;
            if
            :: leader < N && leader != c ->
                stale = leader;
                stale_term = leader_term
            :: else -> skip
            fi;
            if
            :: stale == c || stale == v -> stale = N
            :: else -> skip
            fi;
            leader = c;
            leader_term = t;
            check(c)
        :: else -> skip
        fi;
        t = 0
    }
}

inline append() {
    atomic {
        leader < N && up[leader] && term[leader] == leader_term &&
           length[leader] < LENGTH ->
            entry[leader * LENGTH + length[leader]] = leader_term;
            length[leader]++
    }
}

/* Copy a leader's log to a member, one entry further than they agree. */
inline copy(l, lt, f) {
    atomic {
        l < N && f != l && up[l] && up[f] &&
           term[l] == lt && term[f] <= lt ->
            term[f] = lt;
            k = 0;
            do
            :: k < length[l] && k < length[f] && alike(l, f, k) -> k++
            :: else -> break
            od;
            if
            :: k < length[l] ->
                entry[f * LENGTH + k] = entry[l * LENGTH + k];
                length[f] = k + 1;
                synced[f] = (synced[f] > k -> k : synced[f])
            :: else -> skip
            fi;
            k = 0
    }
}

inline commit() {
    atomic {
        leader < N && up[leader] && term[leader] == leader_term &&
           committed < length[leader] &&
           entry[leader * LENGTH + length[leader] - 1] == leader_term ->
            k = length[leader] - 1;
            if
            :: HELD(0, k) && HELD(1, k) || HELD(0, k) && HELD(2, k) ||
               HELD(1, k) && HELD(2, k) ->
                do
                :: committed <= k ->
                    committed_term[committed] =
                        entry[leader * LENGTH + committed];
                    committed++
                :: else -> break
                od
            :: else -> skip
            fi;
            k = 0
    }
}

/*
 * The admission is an entry like others; its commit needs the old quorum.
 * The leader admits once it knows all its entries to be committed; a stale
 * one may have known that before its successor committed more.
 */
inline admit(l, lt, f) {
    atomic {
        l < N && f != l && up[l] && up[f] && !admitted[f] &&
           term[l] == lt && term[f] == lt &&
           length[f] == length[l] && synced[f] == length[f] &&
           (l == stale || committed == length[l]) &&
           (length[f] == 0 || alike(l, f, length[f] - 1)) &&
           OLD_AGREES(l, lt, f) -> admitted[f] = true
    }
}

inline crash(i) {
    atomic {
        up[i] ->
            up[i] = false;
            length[i] = synced[i];
            if
            :: leader == i -> leader = N
            :: else -> skip
            fi;
            if
            :: stale == i -> stale = N
            :: else -> skip
            fi
    }
}

inline restart(i) {
    atomic { !up[i] -> up[i] = true }
}

/* One disk may be lost while all others are admitted. */
inline lose(i) {
    atomic {
        losses < 2 && admitted[0] && admitted[1] && admitted[2] ->
            losses++;
            length[i] = 0;
            synced[i] = 0;
            term[i] = 0;
            up[i] = true;
            admitted[i] = false;
            if
            :: leader == i -> leader = N
            :: else -> skip
            fi;
            if
            :: stale == i -> stale = N
            :: else -> skip
            fi
    }
}

active proctype world() {
    byte t, k;

    d_step {
        leader = N;
        stale = N;
        up[0] = true; up[1] = true; up[2] = true;
        admitted[0] = true; admitted[1] = true; admitted[2] = true
    }
    do
    :: elect(0, 1)
    :: elect(0, 2)
    :: elect(1, 0)
    :: elect(1, 2)
    :: elect(2, 0)
    :: elect(2, 1)
    :: append()
    :: copy(leader, leader_term, 0)
    :: copy(stale, stale_term, 0)
    :: copy(leader, leader_term, 1)
    :: copy(stale, stale_term, 1)
    :: copy(leader, leader_term, 2)
    :: copy(stale, stale_term, 2)
    :: atomic { up[0] && synced[0] != length[0] -> synced[0] = length[0] }
    :: atomic { up[1] && synced[1] != length[1] -> synced[1] = length[1] }
    :: atomic { up[2] && synced[2] != length[2] -> synced[2] = length[2] }
    :: commit()
    :: admit(leader, leader_term, 0)
    :: admit(stale, stale_term, 0)
    :: admit(leader, leader_term, 1)
    :: admit(stale, stale_term, 1)
    :: admit(leader, leader_term, 2)
    :: admit(stale, stale_term, 2)
    :: crash(0)
    :: crash(1)
    :: crash(2)
    :: restart(0)
    :: restart(1)
    :: restart(2)
    :: lose(0)
    :: lose(1)
    :: lose(2)
    od
}
