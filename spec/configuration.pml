/*
 * Configuration changes: hosts, a store with stale reads and lost or late answers, peers, restarts.
 *
 * Each host polls the head, reads missing changes, asks peers, and commits changes for operators.
 * A commit is conditional on the head; an unknown outcome is settled by repeating the transaction
 * and reading the row of the revision. An operator whose host gave up or restarted repeats the
 * request, with the same id, on another host.
 *
 * Checked by assertions:
 *  - a host's revision never goes back within one incarnation (apply);
 *  - every revision has one content on every host and in the store (apply, store);
 *  - a change is stored at most once, and never after it was refused (store);
 *  - a confirmed change is stored at the confirmed revision (confirm).
 *
 * Variants that must fail: NO_CONDITION, APPLY_ANY, SKIP_GAP, EARLY_APPLY, TRUST_ABSENT,
 * NEW_REVISION, REFUSE_IN_DOUBT.
 */

#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef REVISIONS
#define REVISIONS 3
#endif
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define AT(h, r) ((h) * (REVISIONS + 1) + (r))

byte head;
byte row[REVISIONS + 1];                 /* change id by revision; 0 stands for absent */
byte rev[HOSTS];                         /* revision in force */
byte applied[HOSTS * (REVISIONS + 1)];   /* change id by host and revision */

/* A commit in the network that may still take effect, one for each host. */
byte lateRevision[HOSTS];
byte lateId[HOSTS];

byte nextId = 1;
byte restarts;

/* Changes 1 and 3 touch the same entries. */
#define CLASHES(a, b) ((a) != (b) && (a) % 2 == 1 && (b) % 2 == 1)

/* A request whose outcome its operator does not know, to be repeated on another host. */
byte repeatedId;
byte repeatedBase;

/* Ghost state. */
byte content[REVISIONS + 1];             /* first content applied anywhere, by revision */
bool stored[CHANGES + 1];
bool refused[CHANGES + 1];

/* Writes a change as the store does, inside a transaction. */
inline store(revision, id) {
  assert(row[revision] == 0);
  assert(!stored[id]);
  assert(!refused[id]);
  row[revision] = id;
  head = revision;
  stored[id] = true
}

/* Puts a change into force on a host. */
inline apply(h, revision, id) {
  assert(revision > rev[h]);
  assert(id != 0);
  assert(content[revision] == 0 || content[revision] == id);
  content[revision] = id;
  applied[AT(h, revision)] = id;
  rev[h] = revision
}

inline confirm(revision, id) {
  assert(row[revision] == id)
}

/* Whether the store accepts a commit. */
#ifdef NO_CONDITION
#define ACCEPTS(revision) (true)
#else
#define ACCEPTS(revision) (head == (revision) - 1)
#endif

/* A late commit takes effect or is dropped. */
inline settleLate(n) {
  if
  :: ACCEPTS(lateRevision[n]) -> store(lateRevision[n], lateId[n])
  :: true
  fi;
  lateId[n] = 0;
  lateRevision[n] = 0
}

active proctype Network() {
end:
  do
  :: atomic { lateId[0] != 0 -> settleLate(0) }
  :: atomic { lateId[1] != 0 -> settleLate(1) }
#if HOSTS > 2
  :: atomic { lateId[2] != 0 -> settleLate(2) }
#endif
  od
}

/* Gets the next change, or all with a snapshot, from another host. */
inline askPeer(peer) {
  if
  :: apply(h, rev[h] + 1, applied[AT(peer, rev[h] + 1)])
  :: do
     :: rev[peer] > rev[h] -> apply(h, rev[h] + 1, applied[AT(peer, rev[h] + 1)])
     :: else -> break
     od
  fi
}

proctype Host(byte h) {
  byte id;         /* change that this host commits for an operator */
  byte base;       /* revision that the operator has seen */
  byte target;     /* revision of the attempt; 0 between attempts */
  byte i;
  bool isRepeat;   /* an earlier attempt on another host may still take effect */
  bool inDoubt;
  bool isConflict;
  bool isFound;
  bool isClash;

end:
  do
  /*
   * Poll. A stale read shows a lower head or no row; the host then does nothing, which is the same
   * as not polling.
   */
  :: atomic { rev[h] < head -> apply(h, rev[h] + 1, row[rev[h] + 1]) }
#ifdef APPLY_ANY
  /* Takes over what a stale read shows. */
  :: atomic { rev[h] > 1 -> apply(h, rev[h] - 1, row[rev[h] - 1]) }
#endif
#ifdef SKIP_GAP
  /* The row of the next change is missing in a stale read, and the host takes the one after it. */
  :: atomic { rev[h] + 2 <= head -> apply(h, rev[h] + 1, row[rev[h] + 2]) }
#endif

  /* Peers pass the next change, or all with a snapshot. */
  :: atomic { rev[(h + 1) % HOSTS] > rev[h] -> askPeer((h + 1) % HOSTS) }
#if HOSTS > 2
  :: atomic { rev[(h + 2) % HOSTS] > rev[h] -> askPeer((h + 2) % HOSTS) }
#endif

  /* An operator sends a change, or repeats one that another host left unsettled. */
  :: atomic {
      id == 0 && nextId <= CHANGES -> id = nextId; nextId++; base = rev[h]
    }
  :: atomic {
      id == 0 && repeatedId != 0 && rev[h] >= repeatedBase ->
        id = repeatedId; base = repeatedBase; repeatedId = 0; repeatedBase = 0;
        isRepeat = true
    }

  /* Starts an attempt, unless the change or a clash is found among those after the base. */
  :: atomic {
      id != 0 && target == 0 && (base == rev[h] || rev[h] > base) ->
        isFound = false; isClash = false; i = base + 1;
        do
        :: i <= rev[h] ->
          if
          :: applied[AT(h, i)] == id -> confirm(i, id); isFound = true
          :: CLASHES(applied[AT(h, i)], id) -> isClash = true
          :: else
          fi;
          i++
        :: else -> break
        od;
        i = 0;
        if
        :: isFound -> id = 0; base = 0; isRepeat = false
        :: !isFound && isClash -> refused[id] = true; id = 0; base = 0; isRepeat = false
        /* The model has no further revision. */
        :: !isFound && !isClash && rev[h] == REVISIONS -> id = 0; base = 0; isRepeat = false
        :: !isFound && !isClash && rev[h] < REVISIONS -> target = rev[h] + 1; inDoubt = false
        fi;
        isFound = false; isClash = false
    }

  /* One commit of the attempt. */
  :: atomic {
      target != 0 ->
        isConflict = false;
#ifdef EARLY_APPLY
        if
        :: rev[h] == target - 1 -> apply(h, target, id)
        :: else
        fi;
#endif
        if
        :: ACCEPTS(target) ->
          if
          :: store(target, id);                       /* confirmed */
             confirm(target, id);
             if
             :: rev[h] == target - 1 -> apply(h, target, id)
             :: else
             fi;
             id = 0; base = 0; target = 0; inDoubt = false; isRepeat = false
          :: store(target, id); inDoubt = true        /* answer lost */
          :: lateId[h] == 0 ->                        /* may take effect later */
             lateId[h] = id; lateRevision[h] = target; inDoubt = true
          :: inDoubt = true                           /* request lost */
          fi
        :: !ACCEPTS(target) ->
          if
          :: isConflict = true
          :: inDoubt = true                           /* answer lost */
          fi
        fi;
        if
        :: isConflict && !inDoubt -> target = 0
        :: isConflict && inDoubt ->
          if
          :: row[target] == id ->
             confirm(target, id);
             if
             :: rev[h] == target - 1 -> apply(h, target, id)
             :: else
             fi;
             id = 0; base = 0; target = 0; inDoubt = false; isRepeat = false
          :: row[target] != id && row[target] != 0 -> target = 0; inDoubt = false
          :: true ->                                  /* the read is stale and shows no row */
#ifdef TRUST_ABSENT
             assert(!stored[id]);
             refused[id] = true; id = 0; base = 0; target = 0; inDoubt = false; isRepeat = false
#else
             skip
#endif
          fi
#ifdef NEW_REVISION
        :: !isConflict && inDoubt ->
          /* Tries the next revision that a read shows instead of settling this one. */
          target = head + 1; inDoubt = false;
          if
          :: target > REVISIONS -> target = 0
          :: else
          fi
#endif
        :: else
        fi;
        isConflict = false
    }

  /*
   * The operator's time is up. Only a request that is not in doubt anywhere is refused; otherwise
   * its operator repeats it.
   */
  :: atomic {
#ifdef REFUSE_IN_DOUBT
      target != 0 && !inDoubt ->
#else
      target != 0 && !inDoubt && !isRepeat ->
#endif
        refused[id] = true; id = 0; base = 0; target = 0; isRepeat = false
    }
  :: atomic {
      target != 0 && (inDoubt || isRepeat) && repeatedId == 0 ->
        repeatedId = id; repeatedBase = base;
        id = 0; base = 0; target = 0; inDoubt = false; isRepeat = false
    }

  /* A restart loses the document and the attempt; the operator repeats the request. */
  :: atomic {
      restarts < RESTARTS && rev[h] > 0 && (id == 0 || repeatedId == 0) ->
        restarts++;
        if
        :: id != 0 -> repeatedId = id; repeatedBase = base
        :: else
        fi;
        rev[h] = 0; id = 0; base = 0; target = 0; inDoubt = false; isRepeat = false;
        i = 1;
        do
        :: i <= REVISIONS -> applied[AT(h, i)] = 0; i++
        :: else -> break
        od;
        i = 0
    }
  od
}

init {
  byte n;
  atomic {
    do
    :: n < HOSTS -> run Host(n); n++
    :: else -> break
    od;
    n = 0
  }
}
