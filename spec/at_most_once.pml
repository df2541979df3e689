/*
 * A non-idempotent call under one key (docs/design.md, section 4.4).
 *
 * Two hosts share one record and one service. A pause of a host is an interleaving in which it takes
 * no step, and a crash is a host that takes no further step. Failure detection is unreliable: a host may
 * consider the other dead at any time. A write is confirmed, refused, applied with a lost answer, applied
 * late, or never applied. With STALE, reads may return the row before its last write.
 *
 * Switches: FENCE lets hosts resolve calls in state `sending` by raising a fence. The others are broken
 * variants that the checker must reject: NO_FENCE_CHECK, RERUN_UNKNOWN, SEND_UNCONFIRMED, NO_CONDITION,
 * LOOKUP_BEFORE_FENCE, REFUSE_AFTER_SEND, CLAIM_SAME_FENCING.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define HOSTS 2
#define TRIES 2
/* With FAULTS, at most FAULTS writes are lost, refused or late. */
#ifdef FAULTS
#define FAULT() (faults < FAULTS)
byte faults = 0;
#else
#define FAULT() true
hidden byte faults = 0;
#endif

mtype = { ABSENT, STARTED, SENDING, DONE, NOT_RUN };
mtype = { CONFIRMED, CONFLICT, REFUSED, UNKNOWN };

typedef Record { mtype state; byte attempt; byte fencing; byte version };
typedef LateWrite { bool used; Record row };

Record row;
Record previous;                   /* the row before its last write */
LateWrite lateWrite[HOSTS];
byte attempts = 0;                 /* attempt tokens issued */
byte fence = 0;                    /* fencing number that the service requires */
byte runs = 0;                     /* executions by the service */
bool ran[ATTEMPTS + 1];            /* whether the attempt ran */
bool refused[ATTEMPTS + 1];        /* whether its caller received `not_run` */
byte inFlight[HOSTS];              /* fencing number of the request in flight, 0 for none */
byte inFlightAttempt[HOSTS];
mtype answer[HOSTS] = UNKNOWN;

#define copy(to, from) \
  to.state = from.state; to.attempt = from.attempt; to.fencing = from.fencing; \
  to.version = from.version

#ifdef STALE
#define savePrevious() copy(previous, row)
#else
#define savePrevious() skip
#endif

inline apply(toState, toAttempt, toFencing) {
  savePrevious();
  row.state = toState; row.attempt = toAttempt; row.fencing = toFencing; row.version = row.version + 1
}

#ifdef NO_CONDITION
#define HOLDS(v) true
#else
#define HOLDS(v) (row.version == (v))
#endif

/* One commit. The retries in `swap` handle a refused or unknown outcome. */
inline commit(ifVersion, newState, newAttempt, newFencing) {
  if
  :: HOLDS(ifVersion) -> apply(newState, newAttempt, newFencing); outcome = CONFIRMED
  :: HOLDS(ifVersion) && FAULT() ->
     faults++; apply(newState, newAttempt, newFencing); outcome = UNKNOWN
  :: !HOLDS(ifVersion) -> outcome = CONFLICT; minVersion = row.version
  :: FAULT() -> faults++; outcome = REFUSED
  :: FAULT() && !lateWrite[id].used -> faults++; lateWrite[id].used = true;
     lateWrite[id].row.state = newState; lateWrite[id].row.attempt = newAttempt;
     lateWrite[id].row.fencing = newFencing; lateWrite[id].row.version = ifVersion; outcome = UNKNOWN
  fi
}

/* A read at or above `minVersion`. With STALE it may return the row before its last write. */
#ifdef STALE
#define readRow() \
  if \
  :: copy(seen, row) \
  :: previous.version >= minVersion -> copy(seen, previous) \
  fi
#else
#define readRow() copy(seen, row)
#endif
#define read() atomic { readRow(); minVersion = 0 }

/* records.swap: retries the compare-and-swap until its outcome is known or TRIES is reached. */
inline swap(fromVersion, nextState, nextAttempt, nextFencing) {
  atomic { mayHaveApplied = false; tries = 0; expected = fromVersion; outcome = REFUSED }
  do
  :: atomic { outcome != CONFLICT && tries < TRIES ->
       tries++;
       commit(expected, nextState, nextAttempt, nextFencing);
       if
       :: outcome == CONFIRMED ->
          seen.fencing = nextFencing; seen.attempt = nextAttempt; seen.state = nextState;
          seen.version = expected + 1;
          break
       :: outcome == UNKNOWN -> mayHaveApplied = true
       :: else -> skip
       fi }
  :: atomic { outcome == CONFLICT ->
       readRow();
       if
       :: seen.attempt == nextAttempt && seen.state == nextState -> outcome = CONFIRMED
       :: else -> skip
       fi;
       break }
  :: atomic { outcome != CONFLICT && tries > 0 -> outcome = (mayHaveApplied -> UNKNOWN : REFUSED); break }
  od;
  atomic { mayHaveApplied = false; tries = 0; expected = 0; minVersion = 0 }
}

/* settleInBackground: marks an attempt that sent no request as not run. */
inline settle() {
  read();
  do
  :: seen.attempt == myAttempt && (seen.state == STARTED || seen.state == SENDING) ->
     swap(seen.version, NOT_RUN, myAttempt, seen.fencing);
     if
     :: outcome == CONFIRMED -> break
     :: outcome == CONFLICT -> skip
     :: else -> read()
     fi
  :: else -> break
  od
}

/* Asserts that a call refused as `not_run` has not run; `execute` asserts that it does not run later. */
#define refuse() atomic { refused[myAttempt] = true; assert(!ran[myAttempt]) }

proctype Host(byte id) {
  Record seen;
  mtype outcome; byte minVersion = 0; byte tries; bool mayHaveApplied; byte myAttempt = 0;
  byte myFencing; byte expected; bool found;

follow:
  read();
decide:
  if
  :: seen.state == DONE -> goto finish
  :: seen.state == ABSENT || seen.state == NOT_RUN || seen.state == STARTED -> goto attempt
  :: seen.state == SENDING -> goto resolve
  fi;

attempt:
  atomic {
    if
    :: attempts == ATTEMPTS -> goto finish
    :: else -> attempts++; myAttempt = attempts
    fi
  }
  myFencing = seen.fencing + 1;
  swap(seen.version, STARTED, myAttempt, myFencing);
  if
  :: outcome == CONFLICT -> refuse(); goto decide
  :: outcome == CONFIRMED -> skip
  :: else -> refuse(); goto follow
  fi;
  swap(seen.version, SENDING, myAttempt, myFencing);
  if
  :: outcome == CONFIRMED -> skip
  :: outcome == CONFLICT -> refuse(); goto decide
#ifdef SEND_UNCONFIRMED
  :: outcome == UNKNOWN -> skip
#endif
  :: else -> refuse(); settle(); goto follow
  fi;
  if
  :: refuse(); settle(); goto finish      /* the deadline passed before the send */
  :: skip
  fi;
  atomic { inFlight[id] = myFencing; inFlightAttempt[id] = myAttempt; answer[id] = UNKNOWN }
  if
  :: answer[id] == CONFIRMED -> goto record
  :: answer[id] == REFUSED -> refuse(); settle(); goto follow
  :: true ->                   /* the answer did not arrive in time */
#ifdef REFUSE_AFTER_SEND
     refuse();
#endif
#ifdef RERUN_UNKNOWN
     read(); goto attempt
#else
     read(); goto decide
#endif
  fi;

/* recordResult: also overwrites the claim of a host that is resolving the call. */
record:
  read();
  do
  :: seen.state == SENDING ->
     swap(seen.version, DONE, seen.attempt, seen.fencing);
     if
     :: outcome == CONFIRMED -> break
     :: outcome == CONFLICT -> skip
     :: else -> read()
     fi
  :: seen.state == DONE -> break
  :: else ->                   /* either a stale read, or a wrong `not_run` */
     if
     :: seen.version == row.version -> assert(seen.state == DONE); break
     :: else -> read()
     fi
  od;
  goto finish;

resolve:
#ifdef FENCE
  atomic {
    if
    :: attempts == ATTEMPTS -> goto finish
    :: else -> attempts++; myAttempt = attempts
    fi
  }
#ifdef CLAIM_SAME_FENCING
  myFencing = seen.fencing;
#else
  myFencing = seen.fencing + 1;
#endif
  swap(seen.version, SENDING, myAttempt, myFencing);
  if
  :: outcome == CONFLICT -> goto decide
  :: outcome == CONFIRMED -> skip
  :: else -> goto finish      /* the caller receives `unknown` */
  fi;
#ifdef LOOKUP_BEFORE_FENCE
  found = (runs > 0);
  atomic { fence = (myFencing > fence -> myFencing : fence) }
#else
  atomic { fence = (myFencing > fence -> myFencing : fence) }
  found = (runs > 0);
#endif
  if
  :: found -> goto record
  :: else -> swap(seen.version, NOT_RUN, myAttempt, myFencing);
     if
     :: outcome == CONFIRMED || outcome == CONFLICT -> goto decide
     :: else -> goto finish
     fi
  fi;
#else
  skip;                        /* the caller receives `unknown`; the record is kept */
#endif

finish:
  skip
}

/* Delivers requests in flight to the service, and late writes to the store. */
active proctype Network() {
  byte i;
end:
  do
  :: atomic { lateWrite[0].used -> i = 0; goto deliver }
  :: atomic { lateWrite[1].used -> i = 1; goto deliver }
  :: atomic { inFlight[0] > 0 -> i = 0; goto execute }
  :: atomic { inFlight[1] > 0 -> i = 1; goto execute }
  od;
deliver:
  atomic {
    if
    :: HOLDS(lateWrite[i].row.version) ->
       apply(lateWrite[i].row.state, lateWrite[i].row.attempt, lateWrite[i].row.fencing)
    :: else -> skip
    fi;
    lateWrite[i].used = false; lateWrite[i].row.state = ABSENT; lateWrite[i].row.attempt = 0;
    lateWrite[i].row.fencing = 0; lateWrite[i].row.version = 0; i = 0;
    goto end
  }
execute:
  atomic {
    if
#ifdef NO_FENCE_CHECK
    :: true ->
#else
    :: inFlight[i] >= fence ->
#endif
       runs++; ran[inFlightAttempt[i]] = true;
       assert(!refused[inFlightAttempt[i]]);
       assert(runs <= 1);                                  /* at most once */
       if
       :: answer[i] = CONFIRMED
       :: skip                                             /* the answer is lost */
       fi
#ifndef NO_FENCE_CHECK
    :: inFlight[i] < fence -> answer[i] = REFUSED
#endif
    fi;
    inFlight[i] = 0; inFlightAttempt[i] = 0; i = 0;
    goto end
  }
}

init {
  row.state = ABSENT; previous.state = ABSENT;
  lateWrite[0].row.state = ABSENT; lateWrite[1].row.state = ABSENT;
  atomic { run Host(0); run Host(1) }
}
