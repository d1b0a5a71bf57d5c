/*
 * log: the replicated log of three members with disks, simplified.
 *
 * A step is a whole exchange: an election asks one other member, which makes
 * a majority, and a replication copies one entry to one member.  A member
 * may crash between storing and syncing, and may lose its disk; it then has
 * no vote until the leader has brought it up to date and a quorum of the
 * configuration before the change has synced its ADMIT record.
 *
 * A leader that is partitioned off goes on as a deposed one until it learns
 * of a later term: it replicates its log to members that have not, and may
 * admit.
 *
 * PROPERTY  every elected leader has all committed entries
 * FLAGS     each takes out one mechanism, and the property must then fail:
 *           NO_ADMIT      a member that lost its disk has a vote at once
 *           NO_COMPARE    votes are granted without comparing logs
 *           NO_SYNC       an entry is acknowledged before it is synced
 *           NO_OLD_QUORUM a member is admitted without a quorum of the
 *                         configuration before the change
 */
#define N 3
#ifndef TERMS
#define TERMS 3
#endif
#define LENGTH 2

byte term[N], length[N], synced[N];
byte entry[6];            /* entry[i * LENGTH + k]: term of entry k */
bool up[N], admitted[N];
byte leader, leader_term;
byte deposed, deposed_term; /* the leader before it; both are N for none */
byte committed;           /* entries known to be committed */
byte committed_term[LENGTH];
byte lost_disks;

/* term of the last entry; whether log a is at least as up-to-date as log b */
#define LAST_TERM(i) \
    (length[i] == 0 -> 0 : entry[(i) * LENGTH + length[i] - 1])
#define UP_TO_DATE(a, b) \
    (LAST_TERM(a) > LAST_TERM(b) || \
     (LAST_TERM(a) == LAST_TERM(b) && length[a] >= length[b]))
#ifdef NO_ADMIT
#define IS_VOTER(i) (up[i])
#else
#define IS_VOTER(i) (up[i] && admitted[i])
#endif
#ifdef NO_COMPARE
#define GRANTS(i, c) (IS_VOTER(i) && term[i] < t)
#else
#define GRANTS(i, c) (IS_VOTER(i) && term[i] < t && UP_TO_DATE(c, i))
#endif
#ifdef NO_SYNC
#define SYNCED(i, k) (IS_VOTER(i) && length[i] > k && same_as_leader(i, k))
#else
#define SYNCED(i, k) (IS_VOTER(i) && synced[i] > k && same_as_leader(i, k))
#endif
#define same_entry(l, i, k) \
    (entry[(i) * LENGTH + (k)] == entry[(l) * LENGTH + (k)])
#define same_as_leader(i, k) same_entry(leader, i, k)

/* the member that is neither the leader l nor f, which is to be admitted */
#define THIRD(l, f) (3 - (l) - (f))
#ifdef NO_OLD_QUORUM
#define OLD_QUORUM(l, lt, f) true
#else
#define OLD_QUORUM(l, lt, f) \
    (IS_VOTER(l) && IS_VOTER(THIRD(l, f)) && \
     term[THIRD(l, f)] == lt && \
     synced[THIRD(l, f)] == length[l] && \
     length[THIRD(l, f)] == length[l] && \
     (length[f] == 0 || same_entry(l, THIRD(l, f), length[f] - 1)))
#endif

inline check_leader(c) {
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
        :: t < TERMS && IS_VOTER(c) && GRANTS(v, c) ->
            term[c] = t;
            term[v] = t;
            if
            :: leader < N && leader != c ->
                deposed = leader;
                deposed_term = leader_term
            :: else -> skip
            fi;
            if
            :: deposed == c || deposed == v -> deposed = N
            :: else -> skip
            fi;
            leader = c;
            leader_term = t;
            check_leader(c)
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

/* Replicate to f the first entry that differs or is missing there. */
inline replicate(l, lt, f) {
    atomic {
        l < N && f != l && up[l] && up[f] &&
           term[l] == lt && term[f] <= lt ->
            term[f] = lt;
            k = 0;
            do
            :: k < length[l] && k < length[f] && same_entry(l, f, k) -> k++
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
            :: SYNCED(0, k) && SYNCED(1, k) || SYNCED(0, k) && SYNCED(2, k) ||
               SYNCED(1, k) && SYNCED(2, k) ->
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
 * The ADMIT record is an entry like others; its commit needs a quorum of the
 * configuration before it.  The leader admits once it knows all its entries
 * to be committed; a deposed one may have known that before its successor
 * committed more.
 */
inline admit(l, lt, f) {
    atomic {
        l < N && f != l && up[l] && up[f] && !admitted[f] &&
           term[l] == lt && term[f] == lt &&
           length[f] == length[l] && synced[f] == length[f] &&
           (l == deposed || committed == length[l]) &&
           (length[f] == 0 || same_entry(l, f, length[f] - 1)) &&
           OLD_QUORUM(l, lt, f) -> admitted[f] = true
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
            :: deposed == i -> deposed = N
            :: else -> skip
            fi
    }
}

inline restart(i) {
    atomic { !up[i] -> up[i] = true }
}

/* A disk is lost, at most two times, while all members are admitted. */
inline lose_disk(i) {
    atomic {
        lost_disks < 2 && admitted[0] && admitted[1] && admitted[2] ->
            lost_disks++;
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
            :: deposed == i -> deposed = N
            :: else -> skip
            fi
    }
}

active proctype system() {
    byte t, k;

    d_step {
        leader = N;
        deposed = N;
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
    :: replicate(leader, leader_term, 0)
    :: replicate(deposed, deposed_term, 0)
    :: replicate(leader, leader_term, 1)
    :: replicate(deposed, deposed_term, 1)
    :: replicate(leader, leader_term, 2)
    :: replicate(deposed, deposed_term, 2)
    :: atomic { up[0] && synced[0] != length[0] -> synced[0] = length[0] }
    :: atomic { up[1] && synced[1] != length[1] -> synced[1] = length[1] }
    :: atomic { up[2] && synced[2] != length[2] -> synced[2] = length[2] }
    :: commit()
    :: admit(leader, leader_term, 0)
    :: admit(deposed, deposed_term, 0)
    :: admit(leader, leader_term, 1)
    :: admit(deposed, deposed_term, 1)
    :: admit(leader, leader_term, 2)
    :: admit(deposed, deposed_term, 2)
    :: crash(0)
    :: crash(1)
    :: crash(2)
    :: restart(0)
    :: restart(1)
    :: restart(2)
    :: lose_disk(0)
    :: lose_disk(1)
    :: lose_disk(2)
    od
}
