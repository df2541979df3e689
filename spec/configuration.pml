/*
 * Distribution of configuration changes among hosts, with a store that may return stale reads and
 * lose or delay answers, with exchange between peers, and with host restarts.
 *
 * Each host polls the head revision, reads missing changes, asks peers, and commits changes for
 * operators. A commit is conditional on the head revision. When its outcome is unknown, the host repeats
 * the transaction and reads the row of that revision to find the outcome. An operator whose host timed
 * out or restarted repeats the request, with the same id, on another host.
 *
 * Checked by assertions:
 *  - a host's revision never decreases within one incarnation (apply);
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
byte row[REVISIONS + 1];                 /* change id by revision; 0 if absent */
byte rev[HOSTS];                         /* revision currently applied by each host */
byte applied[HOSTS * (REVISIONS + 1)];   /* change id by host and revision */

/* A commit in flight that may still be applied, one for each host. */
byte lateRevision[HOSTS];
byte lateId[HOSTS];

byte nextId = 1;
byte restarts;

/* Changes 1 and 3 modify the same entries. */
#define OVERLAPS(a, b) ((a) != (b) && (a) % 2 == 1 && (b) % 2 == 1)

/* A request of unknown outcome, which its operator will repeat on another host. */
byte repeatedId;
byte repeatedBase;

/* State that only the assertions use. */
byte content[REVISIONS + 1];             /* first content applied by any host, by revision */
bool stored[CHANGES + 1];
bool refused[CHANGES + 1];

/* Writes a change in one transaction of the store. */
inline store(revision, id) {
  assert(row[revision] == 0);
  assert(!stored[id]);
  assert(!refused[id]);
  row[revision] = id;
  head = revision;
  stored[id] = true
}

/* Applies a change on a host. */
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

/* A late commit is applied or dropped. */
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

/* Fetches the next change, or all changes as a snapshot, from another host. */
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
  byte id;         /* change that this host is committing for an operator */
  byte base;       /* revision that the operator's change is based on */
  byte target;     /* revision that the attempt writes; 0 between attempts */
  byte i;
  bool isRepeat;   /* an earlier attempt on another host may still be applied */
  bool inDoubt;
  bool isConflict;
  bool isFound;
  bool isOverlap;

end:
  do
  /*
   * Polls the store. After a stale read, which returns a lower head or no row, the host does nothing;
   * the model has no separate step for that.
   */
  :: atomic { rev[h] < head -> apply(h, rev[h] + 1, row[rev[h] + 1]) }
#ifdef APPLY_ANY
  /* Applies the older revision that a stale read returns. */
  :: atomic { rev[h] > 1 -> apply(h, rev[h] - 1, row[rev[h] - 1]) }
#endif
#ifdef SKIP_GAP
  /* A stale read lacks the row of the next change, and the host applies the row after it instead. */
  :: atomic { rev[h] + 2 <= head -> apply(h, rev[h] + 1, row[rev[h] + 2]) }
#endif

  /* A peer sends the next change, or all changes as a snapshot. */
  :: atomic { rev[(h + 1) % HOSTS] > rev[h] -> askPeer((h + 1) % HOSTS) }
#if HOSTS > 2
  :: atomic { rev[(h + 2) % HOSTS] > rev[h] -> askPeer((h + 2) % HOSTS) }
#endif

  /* An operator sends a change, or repeats one whose outcome on another host is unknown. */
  :: atomic {
      id == 0 && nextId <= CHANGES -> id = nextId; nextId++; base = rev[h]
    }
  :: atomic {
      id == 0 && repeatedId != 0 && rev[h] >= repeatedBase ->
        id = repeatedId; base = repeatedBase; repeatedId = 0; repeatedBase = 0;
        isRepeat = true
    }

  /* Starts an attempt, unless a revision after the base holds the change itself or an overlapping one. */
  :: atomic {
      id != 0 && target == 0 && (base == rev[h] || rev[h] > base) ->
        isFound = false; isOverlap = false; i = base + 1;
        do
        :: i <= rev[h] ->
          if
          :: applied[AT(h, i)] == id -> confirm(i, id); isFound = true
          :: OVERLAPS(applied[AT(h, i)], id) -> isOverlap = true
          :: else
          fi;
          i++
        :: else -> break
        od;
        i = 0;
        if
        :: isFound -> id = 0; base = 0; isRepeat = false
        :: !isFound && isOverlap -> refused[id] = true; id = 0; base = 0; isRepeat = false
        /* The model's last revision is reached. */
        :: !isFound && !isOverlap && rev[h] == REVISIONS -> id = 0; base = 0; isRepeat = false
        :: !isFound && !isOverlap && rev[h] < REVISIONS -> target = rev[h] + 1; inDoubt = false
        fi;
        isFound = false; isOverlap = false
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
          :: lateId[h] == 0 ->                        /* may be applied later */
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
          :: true ->                                  /* the read is stale and returns no row */
#ifdef TRUST_ABSENT
             assert(!stored[id]);
             refused[id] = true; id = 0; base = 0; target = 0; inDoubt = false; isRepeat = false
#else
             skip
#endif
          fi
#ifdef NEW_REVISION
        :: !isConflict && inDoubt ->
          /* Attempts the next revision without first finding the outcome of this one. */
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
   * The operator's request times out. It is refused only if it is not in doubt on any host; otherwise
   * the operator repeats it.
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
