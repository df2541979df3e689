/*
 * Rows of the store as hosts know them: a hub and a member that both follow the store at times, and
 * pass what changed to each other over links that break.
 *
 * A row is known by its version. A host follows the store from its revision, which says that it
 * knows every change up to there. News hold the rows that changed, the revision that the sender had
 * before and the one that it has now. A new link begins with the sender's whole copy.
 *
 * Checked by assertions:
 *  - a row never goes back to an older version (merge);
 *  - a host knows every change up to its revision (check), so that following the store from there
 *    misses nothing.
 *
 * Variants that must fail: ANY_VERSION (the batch that comes last wins), IGNORE_GAP (news move the
 * revision although some before them were lost), NO_WHOLE_COPY (a new link begins with news alone
 * and the gap is not noticed).
 */

#ifndef WRITES
#define WRITES 3
#endif
#define KEYS 2
#define HOSTS 2
#define AT(h, k) ((h) * KEYS + (k))

byte newest;                 /* newest revision of the store */
byte keyOf[WRITES + 1];      /* key that each revision wrote */
byte version[HOSTS * KEYS];  /* version of each row that a host knows; 0 stands for none */
byte revision[HOSTS];        /* changes up to here are known */

/* News under way to each host: versions of both rows (0: not in it), revision before and after. */
chan news0 = [2] of { byte, byte, byte, byte };
chan news1 = [2] of { byte, byte, byte, byte };
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
  :: i <= revision[h] -> assert(version[AT(h, keyOf[i])] >= i); i++
  :: else -> break
  od;
  i = 0
}

/* Sends the rows that are in force at a host, as changes since a revision. */
inline tell(h, v0, v1, since) {
  if
  :: linked && h == 0 && nfull(news1) -> news1!v0, v1, since, revision[0]
  :: linked && h == 1 && nfull(news0) -> news0!v0, v1, since, revision[1]
  :: else -> linked = false /* a link that cannot take the news is given up */
  fi
}

/* Takes changes and passes on what was new; `since` is the revision after which they are whole. */
inline take(h, v0, v1, since, until) {
  before = revision[h];
  new0 = 0;
  new1 = 0;
  if :: v0 > version[AT(h, 0)] -> new0 = v0 :: else fi;
  if :: v1 > version[AT(h, 1)] -> new1 = v1 :: else fi;
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
      if :: keyOf[newest + 1] = 0 :: keyOf[newest + 1] = 1 fi;
      newest++
    }
  :: else -> break
  od
}

proctype host(byte h) {
  byte i, v0, v1, since, until, before, new0, new1;
  do
  :: atomic { /* follows the store from its revision */
      revision[h] < newest ->
      v0 = 0; v1 = 0;
      i = revision[h] + 1;
      do
      :: i <= newest ->
        if :: keyOf[i] == 0 -> v0 = i :: else -> v1 = i fi;
        i++
      :: else -> break
      od;
      i = 0;
      since = revision[h];
      until = newest;
      take(h, v0, v1, since, until);
      if
      :: new0 > 0 || new1 > 0 -> tell(h, new0, new1, before)
      :: else
      fi;
      v0 = 0; v1 = 0; since = 0; until = 0; before = 0; new0 = 0; new1 = 0
    }
  :: atomic { /* takes news of the other host */
      (h == 0 && nempty(news0)) || (h == 1 && nempty(news1)) ->
      if
      :: h == 0 -> news0?v0, v1, since, until
      :: else -> news1?v0, v1, since, until
      fi;
      take(h, v0, v1, since, until);
      v0 = 0; v1 = 0; since = 0; until = 0; before = 0; new0 = 0; new1 = 0
    }
  :: atomic { /* the link breaks: what is under way is lost */
      linked && h == 0 ->
      linked = false;
      do :: news0?_, _, _, _ :: empty(news0) -> break od;
      do :: news1?_, _, _, _ :: empty(news1) -> break od
    }
  :: atomic { /* a new link begins with whole copies, which hold for every revision before */
      !linked && h == 0 ->
      do :: news0?_, _, _, _ :: empty(news0) -> break od;
      do :: news1?_, _, _, _ :: empty(news1) -> break od;
      linked = true;
#ifndef NO_WHOLE_COPY
      news1!version[AT(0, 0)], version[AT(0, 1)], 0, revision[0]
#else
      news1!0, 0, 0, revision[0]
#endif
    }
  od
}

init {
  atomic { run store(); run host(0); run host(1) }
}
