/*
 * Replication of store rows to the caches of two hosts, a hub and a member. Each host polls the store
 * from time to time and sends the rows that changed to the other over a link that may break.
 *
 * Each cached row has a version. A host reads the store's changes after its own revision; that
 * revision means that the host has applied every earlier change. An update message holds the changed
 * rows, the sender's revision before the change and its revision after it. A new link starts with a
 * full copy of the sender's rows.
 *
 * Checked by assertions:
 *  - a row never reverts to an older version (merge);
 *  - a host has applied every change up to its revision (check), so that reading the store from that
 *    revision misses no change.
 *
 * Variants that must fail: ANY_VERSION (the last message received overwrites newer rows), IGNORE_GAP
 * (an update advances the revision although an earlier update was lost), NO_WHOLE_COPY (a new link
 * starts without a full copy, and the receiver does not detect the missing changes).
 */

#ifndef WRITES
#define WRITES 3
#endif
#define KEYS 2
#define HOSTS 2
#define AT(h, k) ((h) * KEYS + (k))

byte newest;                 /* latest revision of the store */
byte writtenKey[WRITES + 1];      /* key written by each revision */
byte version[HOSTS * KEYS];  /* version of each row in a host's cache; 0 for none */
byte revision[HOSTS];        /* all changes up to this revision are applied */

/* Updates in transit to each host: versions of both rows (0: not included), revision before and after. */
chan updates0 = [2] of { byte, byte, byte, byte };
chan updates1 = [2] of { byte, byte, byte, byte };
bool linked = true;

inline merge(h, k, v) {
#ifdef ANY_VERSION
  if
  :: v > 0 -> assert(v >= version[AT(h, k)]); version[AT(h, k)] = v
  :: else
  fi
#else
  if
  :: v > version[AT(h, k)] -> version[AT(h, k)] = v
  :: else
  fi
#endif
}

inline check(h) {
  i = 1;
  do
  :: i <= revision[h] -> assert(version[AT(h, writtenKey[i])] >= i); i++
  :: else -> break
  od;
  i = 0
}

/* Sends rows of a host's cache to the other host, as changes since a revision. */
inline sendUpdate(h, v0, v1, since) {
  if
  :: linked && h == 0 && nfull(updates1) -> updates1!v0, v1, since, revision[0]
  :: linked && h == 1 && nfull(updates0) -> updates0!v0, v1, since, revision[1]
  :: else -> linked = false /* a link whose channel is full is closed */
  fi
}

/* Applies changes and records which rows were new. The changes are complete from revision `since`. */
inline applyUpdate(h, v0, v1, since, until) {
  before = revision[h];
  changed0 = 0;
  changed1 = 0;
  if :: v0 > version[AT(h, 0)] -> changed0 = v0 :: else fi;
  if :: v1 > version[AT(h, 1)] -> changed1 = v1 :: else fi;
  merge(h, 0, v0);
  merge(h, 1, v1);
  if
#ifdef IGNORE_GAP
  :: until > revision[h] -> revision[h] = until
#else
  :: since <= revision[h] && until > revision[h] -> revision[h] = until
#endif
  :: else
  fi;
  check(h)
}

proctype store() {
  do
  :: newest < WRITES ->
    atomic {
      if :: writtenKey[newest + 1] = 0 :: writtenKey[newest + 1] = 1 fi;
      newest++
    }
  :: else -> break
  od
}

proctype host(byte h) {
  byte i, v0, v1, since, until, before, changed0, changed1;
  do
  :: atomic { /* reads the store's changes after its revision */
      revision[h] < newest ->
      v0 = 0; v1 = 0;
      i = revision[h] + 1;
      do
      :: i <= newest ->
        if :: writtenKey[i] == 0 -> v0 = i :: else -> v1 = i fi;
        i++
      :: else -> break
      od;
      i = 0;
      since = revision[h];
      until = newest;
      applyUpdate(h, v0, v1, since, until);
      if
      :: changed0 > 0 || changed1 > 0 -> sendUpdate(h, changed0, changed1, before)
      :: else
      fi;
      v0 = 0; v1 = 0; since = 0; until = 0; before = 0; changed0 = 0; changed1 = 0
    }
  :: atomic { /* receives an update from the other host */
      (h == 0 && nempty(updates0)) || (h == 1 && nempty(updates1)) ->
      if
      :: h == 0 -> updates0?v0, v1, since, until
      :: else -> updates1?v0, v1, since, until
      fi;
      applyUpdate(h, v0, v1, since, until);
      v0 = 0; v1 = 0; since = 0; until = 0; before = 0; changed0 = 0; changed1 = 0
    }
  :: atomic { /* the link breaks, and updates in transit are lost */
      linked && h == 0 ->
      linked = false;
      do :: updates0?_, _, _, _ :: empty(updates0) -> break od;
      do :: updates1?_, _, _, _ :: empty(updates1) -> break od
    }
  :: atomic { /* a new link starts with full copies, which include all earlier revisions */
      !linked && h == 0 ->
      do :: updates0?_, _, _, _ :: empty(updates0) -> break od;
      do :: updates1?_, _, _, _ :: empty(updates1) -> break od;
      linked = true;
#ifndef NO_WHOLE_COPY
      updates1!version[AT(0, 0)], version[AT(0, 1)], 0, revision[0]
#else
      updates1!0, 0, 0, revision[0]
#endif
    }
  od
}

init {
  atomic { run store(); run host(0); run host(1) }
}
