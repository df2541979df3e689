/*
 * A pool lease with retained shares (docs/design.md, section 4.2).
 *
 * Time passes in ticks at any moment, so every host may be paused for any time. Timers count down.
 * A store request is refused, answered late, applied with a lost answer, or applied late or never;
 * requests that are refused for ever are a store outage. Credits are grants that were not dispatched
 * yet; running work is what was dispatched.
 *
 * Switches: CREDITS adds credits and running work. The others are broken variants that the checker
 * must reject: NO_RETAINED_ENTRY, EARLY_TAKEOVER, VALID_FROM_ANSWER, NO_DROP, LATE_ANSWER_REVIVES,
 * RETAINED_FOREVER, SHORT_RECLAIM, NO_CONDITION, and with CREDITS also CREDITS_NEVER_EXPIRE,
 * RECLAIM_AT_ONCE, NO_COLLECTION,
 * RETAINED_WITHOUT_COLLECTION and NO_SECOND_COLLECTION.
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
#define WINDOW 1               /* dispatch window and guard before the lapse */
#define VALID 2
#ifdef EARLY_TAKEOVER
#define TAKEOVER 0
#else
#define TAKEOVER 2
#endif
/* Time of the retained share after the lapse. */
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

mtype = { IDLE, RENEW, TAKE };             /* request of a host */
mtype = { WAITING, CONFIRMED, CONFLICT };  /* its outcome */

byte holder = NOBODY;          /* the lease row; its version is the freshness of each host */
byte fencing = 0;
byte retained = 0;             /* mask of earlier holders */
bool oldHolder = false;        /* the row's holder is a process that restarted */

bool fresh[HOSTS];             /* the host knows the present version */
byte unchanged[HOSTS];         /* time until a takeover, counted from the host's read */
byte own[HOSTS];               /* fencing number of the own holding, 0 for none */
byte left[HOSTS];              /* time until the retained share ends */
byte known[HOSTS];             /* earlier holders as the holder knows them */
byte stopped[HOSTS];           /* those that answered that they stopped */
byte stopWait[HOSTS];          /* dispatch window after such an answer */
byte reclaim[HOSTS];           /* time until all earlier shares have expired */
byte below[HOSTS];             /* holdings below this number were given up */

mtype request[HOSTS] = IDLE;
mtype outcome[HOSTS] = WAITING;
byte age[HOSTS];               /* what `left` becomes if the request succeeds */
byte newMask[HOSTS];
byte newFencing[HOSTS];

bool late[HOSTS];              /* a write on its way after its host gave it up */
bool lateFresh[HOSTS];         /* its condition still holds */
byte lateMask[HOSTS];
byte lateFencing[HOSTS];

byte used[HOSTS];              /* running work dispatched from credits of the host */
byte credit[HOSTS];            /* credits not dispatched yet, at most 1 */
byte creditLeft[HOSTS];        /* dispatch window of the credit */
byte seenWork[HOSTS * HOSTS];  /* running work of others that the holder collected */
byte aside[HOSTS];             /* earlier holders whose shares are not used yet */
bool collected[HOSTS];
byte collectWait[HOSTS];

#define COUNT(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2))
#define AFTER1 (LIMIT - LIMIT / 2)
#define AFTER2 (AFTER1 - AFTER1 / 2)
/* With credits, a share counts as set aside until running work was collected after its end. */
#if defined(CREDITS) && !defined(NO_SECOND_COLLECTION)
#define ASIDE(i) aside[i]
#else
#define ASIDE(i) known[i]
#endif
#define HELD_ALLOWANCE(i) (COUNT(ASIDE(i)) == 0 -> LIMIT : (COUNT(ASIDE(i)) == 1 -> AFTER1 : AFTER2))
#define IS_HELD(i) (own[i] > 0 && left[i] > RETAINED_MAX + WINDOW)
#define IS_RETAINED(i) (own[i] > 0 && left[i] > 0 && !IS_HELD(i))
#define ALLOW(i) (IS_HELD(i) -> HELD_ALLOWANCE(i) : (IS_RETAINED(i) -> HELD_ALLOWANCE(i) / 2 : 0))

#ifdef NO_COLLECTION
#define WORK(i) (used[i])
#else
#define WORK(i) (used[i] + seenWork[(i) * HOSTS] + seenWork[(i) * HOSTS + 1])
#endif

#ifdef RETAINED_WITHOUT_COLLECTION
#define MAY_GRANT(i) (collected[i] || IS_RETAINED(i))
#else
#define MAY_GRANT(i) (collected[i])
#endif

byte faults = 0;               /* lost, refused and late requests so far */
#define FAULT() (faults < FAULTS)
byte k;                        /* loop variable of atomic steps */

/* Any write changes the version for everybody. */
inline wrote() {
  k = 0;
  do
  :: k < HOSTS -> fresh[k] = false;
#ifndef NO_CONDITION
     lateFresh[k] = false;
#endif
     k++
  :: else -> break
  od
}

inline applyWrite(by, mask, number) {
  holder = by; fencing = number; retained = mask; oldHolder = false;
  wrote()
}

inline endRequest(i) {
  request[i] = IDLE; outcome[i] = WAITING; age[i] = 0; newMask[i] = 0; newFencing[i] = 0
}

inline forget(i) {
  own[i] = 0; left[i] = 0; known[i] = 0; stopped[i] = 0; stopWait[i] = 0; reclaim[i] = 0;
  collected[i] = false; collectWait[i] = 0; aside[i] = 0
}

inline check() {
  assert(ALLOW(0) + ALLOW(1) + (HOSTS > 2 -> ALLOW(HOSTS - 1) : 0) <= LIMIT);
#ifdef CREDITS
  assert(used[0] + used[1] + (HOSTS > 2 -> used[HOSTS - 1] : 0) <= LIMIT);
#endif
}

/* Earlier holders whose shares may be used again. */
#ifdef RECLAIM_AT_ONCE
#define FREED(i) (stopped[i])
#else
#define FREED(i) (stopWait[i] == 0 -> stopped[i] : 0)
#endif
#define KEPT(i) (reclaim[i] == 0 -> 0 : known[i] & ~FREED(i))

proctype Host(byte i) {
  byte j;
end:
  do
  /* readInto: a host without a holding sees a changed row; a holder learns whether it lost. */
  :: atomic { !fresh[i] && request[i] == IDLE ->
       fresh[i] = true;
       if
       :: own[i] > 0 && holder == i && fencing == own[i] && !oldHolder -> known[i] = retained
       :: else -> forget(i); unchanged[i] = TAKEOVER
       fi;
       check() }

  /* renewAll and takeover: the request is sent; validity counts from here. */
  :: atomic { own[i] > 0 && request[i] == IDLE ->
       request[i] = RENEW; age[i] = FULL; newMask[i] = KEPT(i); newFencing[i] = own[i] }
  :: atomic { own[i] == 0 && request[i] == IDLE && fresh[i] && fencing < MAX_FENCING &&
         (holder == NOBODY || holder == i || unchanged[i] == 0) ->
       request[i] = TAKE; age[i] = FULL; newFencing[i] = fencing + 1;
#ifdef NO_RETAINED_ENTRY
       newMask[i] = retained & ~BIT(i)
#else
       newMask[i] = (retained | (holder == NOBODY -> 0 : BIT(holder))) & ~BIT(i)
#endif
     }

  /* The store handles the request; the answer comes later or never. */
  :: atomic { request[i] != IDLE && outcome[i] == WAITING ->
       if
       :: fresh[i] ->
          applyWrite(i, newMask[i], newFencing[i]);
          if
          :: fresh[i] = true; outcome[i] = CONFIRMED
          :: FAULT() -> faults++; endRequest(i)        /* the answer is lost */
          fi
       :: !fresh[i] -> outcome[i] = CONFLICT
       :: FAULT() -> faults++; endRequest(i)           /* refused */
       :: FAULT() && !late[i] ->
          faults++; late[i] = true; lateFresh[i] = fresh[i]; lateMask[i] = newMask[i];
          lateFencing[i] = newFencing[i];
          endRequest(i)
       fi;
       check() }
  :: atomic { late[i] ->
       if
       :: lateFresh[i] -> applyWrite(i, lateMask[i], lateFencing[i])
       :: else -> skip
       fi;
       late[i] = false; lateFresh[i] = false; lateMask[i] = 0; lateFencing[i] = 0 }

  /* renewed and tookOver: the answer is handled. */
  :: atomic { outcome[i] == CONFIRMED ->
#ifdef VALID_FROM_ANSWER
       age[i] = FULL;
#endif
       if
       :: request[i] == RENEW && own[i] == newFencing[i] ->
          left[i] = age[i]; known[i] = newMask[i]; stopped[i] = stopped[i] & known[i]
#ifdef LATE_ANSWER_REVIVES
       :: request[i] == TAKE && own[i] == 0 ->
#else
       :: request[i] == TAKE && own[i] == 0 && newFencing[i] >= below[i] ->
#endif
          own[i] = newFencing[i]; left[i] = age[i]; known[i] = newMask[i]; stopped[i] = 0; aside[i] = newMask[i];
          reclaim[i] = RECLAIM; collected[i] = false; collectWait[i] = WINDOW
       :: else -> skip
       fi;
       endRequest(i);
       check() }
  :: atomic { outcome[i] == CONFLICT -> endRequest(i) }

  /* ask and answerRelinquish. */
  :: atomic { IS_HELD(i) && (known[i] & ~stopped[i]) > 0 ->
       j = 0;
       do
       :: j < HOSTS && HAS(known[i] & ~stopped[i], j) && j != i -> break
       :: j < HOSTS - 1 -> j++
       :: j == HOSTS - 1 && !(HAS(known[i] & ~stopped[i], j) && j != i) -> break
       od;
       if
       :: HAS(known[i] & ~stopped[i], j) && j != i ->
          if
          :: own[j] > 0 && own[j] < own[i] ->
#ifndef NO_DROP
             forget(j);
#endif
             skip
          :: else -> skip
          fi;
          below[j] = (own[i] > below[j] -> own[i] : below[j]);
          stopped[i] = stopped[i] | BIT(j); stopWait[i] = WINDOW
       :: else -> skip
       fi;
       j = 0;
       check() }

  /* end and releaseRow: the holding ends before the write. */
  :: atomic { own[i] > 0 && request[i] == IDLE && holder == i && fresh[i] && !late[i] ->
       forget(i); holder = NOBODY; oldHolder = false; wrote() }

  /* Crash and restart as a newer incarnation. */
#ifndef NO_CRASH
  :: atomic { own[i] > 0 && fencing < MAX_FENCING ->
       if
       :: holder == i -> oldHolder = true
       :: else -> skip
       fi;
       forget(i); endRequest(i); fresh[i] = false; unchanged[i] = 0; below[i] = 0 }
#endif

#ifdef CREDITS
  /* The holder collects running work after the dispatch window and when a share has ended. */
  :: atomic { ALLOW(i) > 0 && (!collected[i] || ASIDE(i) != known[i]) && collectWait[i] == 0 ->
       j = 0;
       do
       :: j < HOSTS -> seenWork[i * HOSTS + j] = (j == i -> 0 : used[j]); j++
       :: else -> break
       od;
       j = 0; collected[i] = true; aside[i] = known[i] }
  /* A grant: within the allowance, counting the work that was collected before. */
  :: atomic { credit[i] == 0 && MAY_GRANT(i) && WORK(i) < ALLOW(i) ->
       credit[i] = 1; creditLeft[i] = WINDOW }
#ifdef CREDITS_NEVER_EXPIRE
  :: atomic { credit[i] == 1 -> credit[i] = 0; used[i]++; creditLeft[i] = 0; check() }
#else
  :: atomic { credit[i] == 1 && creditLeft[i] > 0 ->
       credit[i] = 0; used[i]++; creditLeft[i] = 0; check() }
  :: atomic { credit[i] == 1 && creditLeft[i] == 0 -> credit[i] = 0 }
#endif
  /* Work ends; the others know it if they collected it. */
  :: atomic { used[i] > 0 ->
       used[i]--; j = 0;
       do
       :: j < HOSTS && seenWork[j * HOSTS + i] > 0 -> seenWork[j * HOSTS + i]--; j++
       :: j < HOSTS && seenWork[j * HOSTS + i] <= used[i] -> j++
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
          countDown(unchanged[c]); countDown(age[c]);
#ifdef RETAINED_FOREVER
          left[c] = (left[c] > 1 -> left[c] - 1 : left[c]);
#else
          countDown(left[c]);
#endif
          countDown(stopWait[c]); countDown(reclaim[c]); countDown(creditLeft[c]);
          countDown(collectWait[c]);
          c++
       :: else -> break
       od;
       c = 0;
       check() }
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
