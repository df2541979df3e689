/*
 * A non-idempotent call under one key (docs/design.md, section 4.4).
 *
 * Two hosts share one record and one service. Any interleaving is a pause, and a host that is never
 * scheduled again has crashed. Opinions about other hosts are unreliable: a host may treat the other as gone at
 * any time. A write is confirmed, refused, confirmed with a lost answer, or takes effect late or
 * never. With STALE, reads may show the row before its last write.
 *
 * Switches: FENCE lets hosts resolve calls in `sending` with a fence. The others are broken variants
 * that the checker must reject: NO_FENCE_CHECK, RERUN_UNKNOWN, SEND_UNCONFIRMED, NO_CONDITION,
 * LOOKUP_BEFORE_FENCE, REFUSE_AFTER_SEND, CLAIM_SAME_FENCING.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define HOSTS 2
#define TRIES 2
/* With FAULTS, at most so many writes are lost, refused or late. */
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
typedef Late { bool used; Record row };

Record row;
Record before;                 /* the row before its last write */
Late late[HOSTS];
byte attempts = 0;             /* attempt tokens given out */
byte fence = 0;                /* raised fence of the service */
byte runs = 0;                 /* executions by the service */
bool ran[ATTEMPTS + 1];        /* whether the attempt ran */
bool refused[ATTEMPTS + 1];    /* whether its caller was told `not_run` */
byte flying[HOSTS];            /* fencing number of a request on its way, 0 for none */
byte flyingAttempt[HOSTS];
mtype answer[HOSTS] = UNKNOWN;

#define copy(to, from) \
  to.state = from.state; to.attempt = from.attempt; to.fencing = from.fencing; \
  to.version = from.version

#ifdef STALE
#define keepBefore() copy(before, row)
#else
#define keepBefore() skip
#endif

inline apply(toState, toAttempt, toFencing) {
  keepBefore();
  row.state = toState; row.attempt = toAttempt; row.fencing = toFencing; row.version = row.version + 1
}

#ifdef NO_CONDITION
#define HOLDS(v) true
#else
#define HOLDS(v) (row.version == (v))
#endif

/* One commit; a refused or unknown one is covered by the retries of the swap. */
inline commit(ifVersion, newState, newAttempt, newFencing) {
  if
  :: HOLDS(ifVersion) -> apply(newState, newAttempt, newFencing); out = CONFIRMED
  :: HOLDS(ifVersion) && FAULT() ->
     faults++; apply(newState, newAttempt, newFencing); out = UNKNOWN
  :: !HOLDS(ifVersion) -> out = CONFLICT; floor = row.version
  :: FAULT() -> faults++; out = REFUSED
  :: FAULT() && !late[id].used -> faults++; late[id].used = true;
     late[id].row.state = newState; late[id].row.attempt = newAttempt;
     late[id].row.fencing = newFencing; late[id].row.version = ifVersion; out = UNKNOWN
  fi
}

/* A read at or above a version; it may show the row before its last write. */
#ifdef STALE
#define readRow() \
  if \
  :: copy(seen, row) \
  :: before.version >= floor -> copy(seen, before) \
  fi
#else
#define readRow() copy(seen, row)
#endif
#define read() atomic { readRow(); floor = 0 }

/* records.swap: repeats the compare-and-swap until its outcome is known or the host gives up. */
inline swap(fromVersion, nextState, nextAttempt, nextFencing) {
  atomic { maybe = false; tries = 0; expected = fromVersion; out = REFUSED }
  do
  :: atomic { out != CONFLICT && tries < TRIES ->
       tries++;
       commit(expected, nextState, nextAttempt, nextFencing);
       if
       :: out == CONFIRMED ->
          seen.fencing = nextFencing; seen.attempt = nextAttempt; seen.state = nextState;
          seen.version = expected + 1;
          break
       :: out == UNKNOWN -> maybe = true
       :: else -> skip
       fi }
  :: atomic { out == CONFLICT ->
       readRow();
       if
       :: seen.attempt == nextAttempt && seen.state == nextState -> out = CONFIRMED
       :: else -> skip
       fi;
       break }
  :: atomic { out != CONFLICT && tries > 0 -> out = (maybe -> UNKNOWN : REFUSED); break }
  od;
  atomic { maybe = false; tries = 0; expected = 0; floor = 0 }
}

/* settleInBackground: ends an attempt that sent nothing. */
inline settle() {
  read();
  do
  :: seen.attempt == me && (seen.state == STARTED || seen.state == SENDING) ->
     swap(seen.version, NOT_RUN, me, seen.fencing);
     if
     :: out == CONFIRMED -> break
     :: out == CONFLICT -> skip
     :: else -> read()
     fi
  :: else -> break
  od
}

/* A refusal marked `not_run` is true; `execute` below checks that it stays true. */
#define refuse() atomic { refused[me] = true; assert(!ran[me]) }

proctype Host(byte id) {
  Record seen;
  mtype out; byte floor = 0; byte tries; bool maybe; byte me = 0; byte myFencing; byte expected;
  bool found;

follow:
  read();
decide:
  if
  :: seen.state == DONE -> goto gone
  :: seen.state == ABSENT || seen.state == NOT_RUN || seen.state == STARTED -> goto attempt
  :: seen.state == SENDING -> goto resolve
  fi;

attempt:
  atomic {
    if
    :: attempts == ATTEMPTS -> goto gone
    :: else -> attempts++; me = attempts
    fi
  }
  myFencing = seen.fencing + 1;
  swap(seen.version, STARTED, me, myFencing);
  if
  :: out == CONFLICT -> refuse(); goto decide
  :: out == CONFIRMED -> skip
  :: else -> refuse(); goto follow
  fi;
  swap(seen.version, SENDING, me, myFencing);
  if
  :: out == CONFIRMED -> skip
  :: out == CONFLICT -> refuse(); goto decide
#ifdef SEND_UNCONFIRMED
  :: out == UNKNOWN -> skip
#endif
  :: else -> refuse(); settle(); goto follow
  fi;
  if
  :: refuse(); settle(); goto gone      /* the deadline passed before the send */
  :: skip
  fi;
  atomic { flying[id] = myFencing; flyingAttempt[id] = me; answer[id] = UNKNOWN }
  if
  :: answer[id] == CONFIRMED -> goto record
  :: answer[id] == REFUSED -> refuse(); settle(); goto follow
  :: true ->                   /* no answer in time */
#ifdef REFUSE_AFTER_SEND
     refuse();
#endif
#ifdef RERUN_UNKNOWN
     read(); goto attempt
#else
     read(); goto decide
#endif
  fi;

record:                        /* recordResult: also over the claim of a host that resolves */
  read();
  do
  :: seen.state == SENDING ->
     swap(seen.version, DONE, seen.attempt, seen.fencing);
     if
     :: out == CONFIRMED -> break
     :: out == CONFLICT -> skip
     :: else -> read()
     fi
  :: seen.state == DONE -> break
  :: else ->                   /* a read of the row before the swap, or a false `not_run` */
     if
     :: seen.version == row.version -> assert(seen.state == DONE); break
     :: else -> read()
     fi
  od;
  goto gone;

resolve:
#ifdef FENCE
  atomic {
    if
    :: attempts == ATTEMPTS -> goto gone
    :: else -> attempts++; me = attempts
    fi
  }
#ifdef CLAIM_SAME_FENCING
  myFencing = seen.fencing;
#else
  myFencing = seen.fencing + 1;
#endif
  swap(seen.version, SENDING, me, myFencing);
  if
  :: out == CONFLICT -> goto decide
  :: out == CONFIRMED -> skip
  :: else -> goto gone         /* the caller gets `unknown` */
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
  :: else -> swap(seen.version, NOT_RUN, me, myFencing);
     if
     :: out == CONFIRMED || out == CONFLICT -> goto decide
     :: else -> goto gone
     fi
  fi;
#else
  skip;                        /* the caller gets `unknown`; the record stays */
#endif

gone:
  skip
}

/* Requests on their way to the service, and writes that take effect late. */
active proctype Network() {
  byte i;
end:
  do
  :: atomic { late[0].used -> i = 0; goto deliver }
  :: atomic { late[1].used -> i = 1; goto deliver }
  :: atomic { flying[0] > 0 -> i = 0; goto execute }
  :: atomic { flying[1] > 0 -> i = 1; goto execute }
  od;
deliver:
  atomic {
    if
    :: HOLDS(late[i].row.version) ->
       apply(late[i].row.state, late[i].row.attempt, late[i].row.fencing)
    :: else -> skip
    fi;
    late[i].used = false; late[i].row.state = ABSENT; late[i].row.attempt = 0;
    late[i].row.fencing = 0; late[i].row.version = 0; i = 0;
    goto end
  }
execute:
  atomic {
    if
#ifdef NO_FENCE_CHECK
    :: true ->
#else
    :: flying[i] >= fence ->
#endif
       runs++; ran[flyingAttempt[i]] = true;
       assert(!refused[flyingAttempt[i]]);
       assert(runs <= 1);                                  /* at most once */
       if
       :: answer[i] = CONFIRMED
       :: skip                                             /* the answer is lost */
       fi
#ifndef NO_FENCE_CHECK
    :: flying[i] < fence -> answer[i] = REFUSED
#endif
    fi;
    flying[i] = 0; flyingAttempt[i] = 0; i = 0;
    goto end
  }
}

init {
  row.state = ABSENT; before.state = ABSENT;
  late[0].row.state = ABSENT; late[1].row.state = ABSENT;
  atomic { run Host(0); run Host(1) }
}
