/*
 * A pool lease with retained shares (docs/design.md, section 4.2).
 *
 * A clock tick may occur between any two steps, so that a host may be paused for any time. Timers count
 * down to 0. A store request is refused, answered late, applied with a lost answer, applied late, or never
 * applied; a store outage is a run in which all requests are refused. Credits are grants that are not
 * dispatched yet; running work is work that was dispatched.
 *
 * Switches: CREDITS adds credits and running work. The others are broken variants that the checker
 * must reject: NO_RETAINED_ENTRY, EARLY_TAKEOVER, VALID_FROM_ANSWER, NO_DROP, LATE_ANSWER_REVIVES,
 * RETAINED_FOREVER, SHORT_RECLAIM, NO_CONDITION, and with CREDITS also CREDITS_NEVER_EXPIRE,
 * RECLAIM_AT_ONCE, NO_COLLECTION, RETAINED_WITHOUT_COLLECTION and NO_SECOND_COLLECTION.
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef LIMIT
#define LIMIT 2
#endif
#ifndef MAX_FENCING
#define MAX_FENCING 3
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define WINDOW 1               /* dispatch window, and safety margin before the lease expires */
#define VALID 2
#ifdef EARLY_TAKEOVER
#define TAKEOVER 0
#else
#define TAKEOVER 2
#endif
/* Time for which a holder keeps its retained share after its lease has expired. */
#ifndef RETAINED_MAX
#define RETAINED_MAX 1
#endif
#ifdef SHORT_RECLAIM
#define RECLAIM 0
#else
#define RECLAIM (RETAINED_MAX + 1)   /* with a margin */
#endif
#define FULL (VALID + RETAINED_MAX)
#define NOBODY 7
#define BIT(i) (1 << (i))
#define HAS(mask, i) (((mask) >> (i)) & 1)

mtype = { IDLE, RENEW, TAKE };             /* request that a host sent */
mtype = { WAITING, CONFIRMED, CONFLICT };  /* outcome of the request */

byte holder = NOBODY;              /* holder in the lease row; `knowsVersion` stands for the row version */
byte fencing = 0;
byte retained = 0;                 /* bit mask of earlier holders */
bool oldHolder = false;            /* the holder in the row is an earlier process of a restarted host */

bool knowsVersion[HOSTS];          /* the host knows the current row version */
byte takeoverWait[HOSTS];          /* time until a takeover is allowed, from the host's last read */
byte ownFencing[HOSTS];            /* fencing number of the lease that the host holds, 0 for none */
byte shareLeft[HOSTS];             /* time until the retained share expires */
byte earlierHolders[HOSTS];        /* earlier holders known to the current holder */
byte stopped[HOSTS];               /* earlier holders that confirmed that they stopped */
byte stopWait[HOSTS];              /* dispatch window after such a confirmation */
byte reclaimWait[HOSTS];           /* time until the shares of all earlier holders have expired */
byte relinquishedBelow[HOSTS];     /* leases with a lower fencing number were relinquished */

mtype request[HOSTS] = IDLE;
mtype outcome[HOSTS] = WAITING;
byte shareAfterRequest[HOSTS];     /* value of `shareLeft` if the request succeeds */
byte newMask[HOSTS];
byte newFencing[HOSTS];

bool lateWrite[HOSTS];             /* a write in flight whose host no longer waits for it */
bool lateVersionHolds[HOSTS];      /* the version condition of the late write still holds */
byte lateMask[HOSTS];
byte lateFencing[HOSTS];

byte runningWork[HOSTS];           /* running work dispatched with credits of the host */
byte credit[HOSTS];                /* credits that are not dispatched yet, at most 1 */
byte creditLeft[HOSTS];            /* time left to dispatch the credit */
byte collectedWork[HOSTS * HOSTS];  /* running work of other hosts, as collected by the holder */
byte reserved[HOSTS];              /* earlier holders whose shares are still reserved */
bool collected[HOSTS];
byte collectWait[HOSTS];

#define COUNT(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2))
#define AFTER1 (LIMIT - LIMIT / 2)
#define AFTER2 (AFTER1 - AFTER1 / 2)
/* With CREDITS, a share stays reserved until running work has been collected after the share expired. */
#if defined(CREDITS) && !defined(NO_SECOND_COLLECTION)
#define RESERVED(i) reserved[i]
#else
#define RESERVED(i) earlierHolders[i]
#endif
#define HELD_ALLOWANCE(i) (COUNT(RESERVED(i)) == 0 -> LIMIT : (COUNT(RESERVED(i)) == 1 -> AFTER1 : AFTER2))
#define IS_HELD(i) (ownFencing[i] > 0 && shareLeft[i] > RETAINED_MAX + WINDOW)
#define IS_RETAINED(i) (ownFencing[i] > 0 && shareLeft[i] > 0 && !IS_HELD(i))
#define ALLOW(i) (IS_HELD(i) -> HELD_ALLOWANCE(i) : (IS_RETAINED(i) -> HELD_ALLOWANCE(i) / 2 : 0))

#ifdef NO_COLLECTION
#define WORK(i) (runningWork[i])
#else
#define WORK(i) (runningWork[i] + collectedWork[(i) * HOSTS] + collectedWork[(i) * HOSTS + 1])
#endif

#ifdef RETAINED_WITHOUT_COLLECTION
#define MAY_GRANT(i) (collected[i] || IS_RETAINED(i))
#else
#define MAY_GRANT(i) (collected[i])
#endif

byte faults = 0;                   /* number of lost, refused and late requests so far */
#define FAULT() (faults < FAULTS)
byte k;                            /* loop variable of atomic steps */

/* Every write changes the row version, so that no host knows the current one. */
inline bumpVersion() {
  k = 0;
  do
  :: k < HOSTS -> knowsVersion[k] = false;
#ifndef NO_CONDITION
     lateVersionHolds[k] = false;
#endif
     k++
  :: else -> break
  od
}

inline applyWrite(by, mask, number) {
  holder = by; fencing = number; retained = mask; oldHolder = false;
  bumpVersion()
}

inline endRequest(i) {
  request[i] = IDLE; outcome[i] = WAITING; shareAfterRequest[i] = 0; newMask[i] = 0; newFencing[i] = 0
}

inline dropHolding(i) {
  ownFencing[i] = 0; shareLeft[i] = 0; earlierHolders[i] = 0; stopped[i] = 0;
  stopWait[i] = 0; reclaimWait[i] = 0;
  collected[i] = false; collectWait[i] = 0; reserved[i] = 0
}

inline checkLimits() {
  assert(ALLOW(0) + ALLOW(1) + (HOSTS > 2 -> ALLOW(HOSTS - 1) : 0) <= LIMIT);
#ifdef CREDITS
  assert(runningWork[0] + runningWork[1] + (HOSTS > 2 -> runningWork[HOSTS - 1] : 0) <= LIMIT);
#endif
}

/* Earlier holders whose shares the current holder may use again. */
#ifdef RECLAIM_AT_ONCE
#define FREED(i) (stopped[i])
#else
#define FREED(i) (stopWait[i] == 0 -> stopped[i] : 0)
#endif
#define KEPT(i) (reclaimWait[i] == 0 -> 0 : earlierHolders[i] & ~FREED(i))

proctype Host(byte i) {
  byte j;
end:
  do
  /* readInto: a host without the lease sees a changed row; a holder learns whether it lost the lease. */
  :: atomic { !knowsVersion[i] && request[i] == IDLE ->
       knowsVersion[i] = true;
       if
       :: ownFencing[i] > 0 && holder == i && fencing == ownFencing[i] && !oldHolder ->
          earlierHolders[i] = retained
       :: else -> dropHolding(i); takeoverWait[i] = TAKEOVER
       fi;
       checkLimits() }

  /* renewAll and takeover: the request is sent; the lease is valid from the time of sending. */
  :: atomic { ownFencing[i] > 0 && request[i] == IDLE ->
       request[i] = RENEW; shareAfterRequest[i] = FULL; newMask[i] = KEPT(i); newFencing[i] = ownFencing[i] }
  :: atomic { ownFencing[i] == 0 && request[i] == IDLE && knowsVersion[i] && fencing < MAX_FENCING &&
         (holder == NOBODY || holder == i || takeoverWait[i] == 0) ->
       request[i] = TAKE; shareAfterRequest[i] = FULL; newFencing[i] = fencing + 1;
#ifdef NO_RETAINED_ENTRY
       newMask[i] = retained & ~BIT(i)
#else
       newMask[i] = (retained | (holder == NOBODY -> 0 : BIT(holder))) & ~BIT(i)
#endif
     }

  /* The store processes the request; the answer arrives later or never. */
  :: atomic { request[i] != IDLE && outcome[i] == WAITING ->
       if
       :: knowsVersion[i] ->
          applyWrite(i, newMask[i], newFencing[i]);
          if
          :: knowsVersion[i] = true; outcome[i] = CONFIRMED
          :: FAULT() -> faults++; endRequest(i)        /* the answer is lost */
          fi
       :: !knowsVersion[i] -> outcome[i] = CONFLICT
       :: FAULT() -> faults++; endRequest(i)           /* refused */
       :: FAULT() && !lateWrite[i] ->
          faults++; lateWrite[i] = true; lateVersionHolds[i] = knowsVersion[i]; lateMask[i] = newMask[i];
          lateFencing[i] = newFencing[i];
          endRequest(i)
       fi;
       checkLimits() }
  :: atomic { lateWrite[i] ->
       if
       :: lateVersionHolds[i] -> applyWrite(i, lateMask[i], lateFencing[i])
       :: else -> skip
       fi;
       lateWrite[i] = false; lateVersionHolds[i] = false; lateMask[i] = 0; lateFencing[i] = 0 }

  /* The host processes the answer to a renewal or a takeover. */
  :: atomic { outcome[i] == CONFIRMED ->
#ifdef VALID_FROM_ANSWER
       shareAfterRequest[i] = FULL;
#endif
       if
       :: request[i] == RENEW && ownFencing[i] == newFencing[i] ->
          shareLeft[i] = shareAfterRequest[i]; earlierHolders[i] = newMask[i];
          stopped[i] = stopped[i] & earlierHolders[i]
#ifdef LATE_ANSWER_REVIVES
       :: request[i] == TAKE && ownFencing[i] == 0 ->
#else
       :: request[i] == TAKE && ownFencing[i] == 0 && newFencing[i] >= relinquishedBelow[i] ->
#endif
          ownFencing[i] = newFencing[i]; shareLeft[i] = shareAfterRequest[i];
          earlierHolders[i] = newMask[i]; stopped[i] = 0; reserved[i] = newMask[i];
          reclaimWait[i] = RECLAIM; collected[i] = false; collectWait[i] = WINDOW
       :: else -> skip
       fi;
       endRequest(i);
       checkLimits() }
  :: atomic { outcome[i] == CONFLICT -> endRequest(i) }

  /* ask and handleRelinquish: the holder asks an earlier holder to stop. */
  :: atomic { IS_HELD(i) && (earlierHolders[i] & ~stopped[i]) > 0 ->
       j = 0;
       do
       :: j < HOSTS && HAS(earlierHolders[i] & ~stopped[i], j) && j != i -> break
       :: j < HOSTS - 1 -> j++
       :: j == HOSTS - 1 && !(HAS(earlierHolders[i] & ~stopped[i], j) && j != i) -> break
       od;
       if
       :: HAS(earlierHolders[i] & ~stopped[i], j) && j != i ->
          if
          :: ownFencing[j] > 0 && ownFencing[j] < ownFencing[i] ->
#ifndef NO_DROP
             dropHolding(j);
#endif
             skip
          :: else -> skip
          fi;
          relinquishedBelow[j] =
            (ownFencing[i] > relinquishedBelow[j] -> ownFencing[i] : relinquishedBelow[j]);
          stopped[i] = stopped[i] | BIT(j); stopWait[i] = WINDOW
       :: else -> skip
       fi;
       j = 0;
       checkLimits() }

  /* end and releaseRow: the host stops using the lease before it writes the release. */
  :: atomic { ownFencing[i] > 0 && request[i] == IDLE && holder == i && knowsVersion[i] && !lateWrite[i] ->
       dropHolding(i); holder = NOBODY; oldHolder = false; bumpVersion() }

  /* A crash, followed by a restart with a newer incarnation. */
#ifndef NO_CRASH
  :: atomic { ownFencing[i] > 0 && fencing < MAX_FENCING ->
       if
       :: holder == i -> oldHolder = true
       :: else -> skip
       fi;
       dropHolding(i); endRequest(i); knowsVersion[i] = false; takeoverWait[i] = 0; relinquishedBelow[i] = 0 }
#endif

#ifdef CREDITS
  /* The holder collects running work after the dispatch window, and again when a share has expired. */
  :: atomic { ALLOW(i) > 0 && (!collected[i] || RESERVED(i) != earlierHolders[i]) && collectWait[i] == 0 ->
       j = 0;
       do
       :: j < HOSTS -> collectedWork[i * HOSTS + j] = (j == i -> 0 : runningWork[j]); j++
       :: else -> break
       od;
       j = 0; collected[i] = true; reserved[i] = earlierHolders[i] }
  /* A grant. It must fit into the allowance together with the running work collected before. */
  :: atomic { credit[i] == 0 && MAY_GRANT(i) && WORK(i) < ALLOW(i) ->
       credit[i] = 1; creditLeft[i] = WINDOW }
#ifdef CREDITS_NEVER_EXPIRE
  :: atomic { credit[i] == 1 -> credit[i] = 0; runningWork[i]++; creditLeft[i] = 0; checkLimits() }
#else
  :: atomic { credit[i] == 1 && creditLeft[i] > 0 ->
       credit[i] = 0; runningWork[i]++; creditLeft[i] = 0; checkLimits() }
  :: atomic { credit[i] == 1 && creditLeft[i] == 0 -> credit[i] = 0 }
#endif
  /* Work ends; hosts that had collected it are notified. */
  :: atomic { runningWork[i] > 0 ->
       runningWork[i]--; j = 0;
       do
       :: j < HOSTS && collectedWork[j * HOSTS + i] > 0 -> collectedWork[j * HOSTS + i]--; j++
       :: j < HOSTS && collectedWork[j * HOSTS + i] <= runningWork[i] -> j++
       :: j == HOSTS -> break
       od;
       j = 0 }
#endif
  od
}

inline countDown(timer) {
  timer = (timer > 0 -> timer - 1 : 0)
}

active proctype Clock() {
  byte c;
end:
  do
  :: atomic {
       c = 0;
       do
       :: c < HOSTS ->
          countDown(takeoverWait[c]); countDown(shareAfterRequest[c]);
#ifdef RETAINED_FOREVER
          shareLeft[c] = (shareLeft[c] > 1 -> shareLeft[c] - 1 : shareLeft[c]);
#else
          countDown(shareLeft[c]);
#endif
          countDown(stopWait[c]); countDown(reclaimWait[c]); countDown(creditLeft[c]);
          countDown(collectWait[c]);
          c++
       :: else -> break
       od;
       c = 0;
       checkLimits() }
  od
}

init {
  atomic {
    run Host(0); run Host(1);
#if HOSTS > 2
    run Host(2);
#endif
  }
}
