import test from "ava";
import { createRowCache } from "./create_row_cache.ts";
import { encodeRevision } from "./encode_revision.ts";
import { TABLE } from "./types.ts";
import type { Row, RowBatch } from "./types.ts";

const row = (key: string, value: string | undefined, version: number): Row => ({
  key,
  value,
  version,
});
const whole = (revision: number, rows: Row[]): RowBatch => ({
  revision,
  rows,
  isWhole: true,
  sinceRevision: undefined,
});
const changes = (sinceRevision: number, revision: number, rows: Row[]): RowBatch => ({
  revision,
  rows,
  isWhole: false,
  sinceRevision,
});

test("an older batch that arrives late changes nothing", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "new", 9)]));
  const changed = cache.apply(TABLE.SERVERS, changes(3, 6, [row("a", "old", 5)]));
  t.deepEqual([changed, cache.rows(TABLE.SERVERS)], [[], [row("a", "new", 9)]]);
});

test("a row that is missing from a whole table is removed unless it is newer", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "1", 9), row("b", "1", 10)]));
  cache.apply(TABLE.SERVERS, changes(10, 20, [row("c", "1", 20)]));
  const changed = cache.apply(TABLE.SERVERS, whole(15, [row("a", "1", 9)]));
  t.deepEqual(changed, [row("b", undefined, 15)]);
  t.deepEqual(cache.rows(TABLE.SERVERS).map(({ key }) => key), ["a", "c"]);
});

test("a late batch does not restore a removed row", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "1", 9)]));
  cache.apply(TABLE.SERVERS, changes(10, 12, [row("a", undefined, 12)]));
  cache.apply(TABLE.SERVERS, changes(10, 11, [row("a", "2", 11)]));
  t.deepEqual(cache.rows(TABLE.SERVERS), []);
});

test("changes after a gap are merged without advancing the revision", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, []));
  cache.apply(TABLE.SERVERS, changes(15, 20, [row("a", "1", 18)]));
  t.is(cache.revision(TABLE.SERVERS), 10);
  cache.apply(TABLE.SERVERS, changes(10, 25, []));
  t.is(cache.revision(TABLE.SERVERS), 25);
});

test("a row that is written again with the same content is not reported as changed", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "1", 9)]));
  t.deepEqual(cache.apply(TABLE.SERVERS, changes(10, 12, [row("a", "1", 12)])), []);
});

test("only the changes after a known revision are returned, removals included", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "1", 9), row("b", "1", 8)]));
  cache.apply(TABLE.SERVERS, changes(10, 12, [row("a", undefined, 12)]));
  t.deepEqual(cache.changesSince(TABLE.SERVERS, 10), changes(10, 12, [row("a", undefined, 12)]));
  t.deepEqual(cache.changesSince(TABLE.SERVERS, 12), changes(12, 12, []));
});

test("all rows are returned for a revision after which removals may be unknown", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "1", 9)]));
  t.deepEqual(cache.changesSince(TABLE.SERVERS, 7), whole(10, [row("a", "1", 9)]));
  t.deepEqual(cache.changesSince(TABLE.SERVERS, undefined), whole(10, [row("a", "1", 9)]));
  // The changes between revisions 10 and 20 were missed, so removals in between are unknown.
  cache.apply(TABLE.SERVERS, whole(20, [row("b", "1", 15)]));
  t.true(cache.changesSince(TABLE.SERVERS, 14).isWhole);
});

test("a cache that never received a whole table returns its rows as an incomplete batch", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, changes(15, 20, [row("a", "1", 18)]));
  const batch = cache.changesSince(TABLE.SERVERS, undefined);
  t.deepEqual([batch.isWhole, batch.rows.length], [false, 1]);
});

const unusable = (key: string, version: number): Row => ({
  key,
  value: undefined,
  version,
  problem: "DecodeError",
});

test("an operators' row that cannot be used keeps its last usable content", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.OPERATORS, whole(10, [row("config", "1", 9)]));
  t.deepEqual(cache.apply(TABLE.OPERATORS, changes(10, 11, [unusable("config", 11)])), []);
  t.deepEqual(cache.apply(TABLE.OPERATORS, whole(12, [unusable("config", 11)])), []);
  t.deepEqual(cache.rows(TABLE.OPERATORS), [row("config", "1", 9)]);
  t.is(cache.revisionForHub(TABLE.OPERATORS), 12);
  t.deepEqual(
    cache.apply(TABLE.OPERATORS, changes(12, 13, [row("config", "2", 13)])),
    [row("config", "2", 13)],
  );
});

test("a host that has read only an unusable operators' row gets the known content from a hub", (t) => {
  const hub = createRowCache();
  hub.apply(TABLE.OPERATORS, whole(10, [row("config", "1", 9)]));
  hub.apply(TABLE.OPERATORS, changes(10, 11, [unusable("config", 11)]));
  const host = createRowCache();
  host.apply(TABLE.OPERATORS, whole(11, [unusable("config", 11)]));
  t.is(host.revision(TABLE.OPERATORS), 11);
  t.is(host.revisionForHub(TABLE.OPERATORS), undefined);
  host.apply(
    TABLE.OPERATORS,
    hub.changesSince(TABLE.OPERATORS, host.revisionForHub(TABLE.OPERATORS)),
  );
  t.deepEqual(host.rows(TABLE.OPERATORS), [row("config", "1", 9)]);
  t.is(host.revisionForHub(TABLE.OPERATORS), 11);
});

test("a server's row that cannot be used counts as removed until it is valid again", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(10, [row("a", "1", 9), row("b", "1", 9)]));
  const changed = cache.apply(TABLE.SERVERS, changes(10, 11, [unusable("a", 11)]));
  t.deepEqual(changed, [unusable("a", 11)]);
  t.deepEqual(cache.rows(TABLE.SERVERS).map(({ key }) => key), ["b"]);
  cache.apply(TABLE.SERVERS, changes(11, 12, [row("a", "1", 12)]));
  t.deepEqual(cache.rows(TABLE.SERVERS).map(({ key }) => key).sort(), ["a", "b"]);
});

test("a copy is extended only by a span of revisions that begins within it", (t) => {
  const cache = createRowCache();
  t.false(cache.extend(TABLE.SERVERS, { since: 0, until: 5 }));
  cache.apply(TABLE.SERVERS, { revision: 5, rows: [], isWhole: true, sinceRevision: undefined });
  t.false(cache.extend(TABLE.SERVERS, { since: 6, until: 9 }));
  t.is(cache.revision(TABLE.SERVERS), 5);
  t.true(cache.extend(TABLE.SERVERS, { since: 4, until: 9 }));
  t.is(cache.revision(TABLE.SERVERS), 9);
  t.true(cache.extend(TABLE.SERVERS, { since: 3, until: 7 }));
  t.is(cache.revision(TABLE.SERVERS), 9);
});

// Guards against a server that stays in use although its row came and went between two reads.
test("of several versions of a row in one batch, only the newest is a change, in any order", (t) => {
  const versions = [row("a", "1", 42), row("a", undefined, 44)];
  for (const rows of [versions, versions.toReversed()]) {
    const cache = createRowCache();
    cache.apply(TABLE.SERVERS, whole(40, []));
    t.deepEqual(cache.apply(TABLE.SERVERS, changes(40, 44, rows)), []);
    t.deepEqual(cache.rows(TABLE.SERVERS), []);
  }
});

test("a row that is removed and written again in one batch has its last content", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(40, [row("a", "1", 39)]));
  const rows = [row("a", undefined, 41), row("a", "2", 43)];
  t.deepEqual(cache.apply(TABLE.SERVERS, changes(40, 44, rows)), [row("a", "2", 43)]);
  t.deepEqual(cache.rows(TABLE.SERVERS), [row("a", "2", 43)]);
});

const inEra = (era: number, transaction: number) => encodeRevision({ era, transaction });

// Guards against versions that are given out again after the store has come back from a copy.
test("a row written after a restore replaces one with a higher version from before it", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(inEra(1, 100), [row("a", "1", inEra(1, 99))]));
  cache.apply(TABLE.SERVERS, whole(inEra(2, 60), [row("a", "2", inEra(2, 58))]));
  t.is(cache.find(TABLE.SERVERS, "a")?.value, "2");
  const changed = cache.apply(
    TABLE.SERVERS,
    changes(inEra(1, 100), inEra(1, 120), [
      row("a", "late", inEra(1, 110)),
    ]),
  );
  t.deepEqual([changed, cache.revision(TABLE.SERVERS)], [[], inEra(2, 60)]);
});

test("a row that a restored store lacks is removed by the confirmation, and by no whole table before", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(inEra(1, 100), [row("a", "1", inEra(1, 99))]));
  for (const transaction of [60, 65]) {
    t.deepEqual(cache.apply(TABLE.SERVERS, whole(inEra(2, transaction), [])), []);
  }
  t.true(cache.hasUnconfirmedRows(TABLE.SERVERS));
  const removed = cache.apply(TABLE.SERVERS, whole(inEra(2, 70), []), { isConfirmation: true });
  t.deepEqual(removed, [row("a", undefined, inEra(2, 70))]);
  t.false(cache.hasUnconfirmedRows(TABLE.SERVERS));
});

test("a confirmation that reads the store after a further restore removes no row", (t) => {
  const cache = createRowCache();
  cache.apply(TABLE.SERVERS, whole(inEra(1, 100), [row("a", "1", inEra(1, 99))]));
  cache.apply(TABLE.SERVERS, whole(inEra(2, 60), []));
  const origin = { isConfirmation: true };
  t.deepEqual(cache.apply(TABLE.SERVERS, whole(inEra(3, 50), []), origin), []);
  t.is(cache.rows(TABLE.SERVERS).length, 1);
});

test("an older state of a row in a restored store does not replace the known one where it must not", (t) => {
  const asked: unknown[] = [];
  const cache = createRowCache({
    isSetBack(_table, rows) {
      asked.push([rows.known.value, rows.restored.value]);
      return true;
    },
  });
  cache.apply(TABLE.SERVERS, whole(inEra(1, 100), [row("a", "new", inEra(1, 99))]));
  const restored = whole(inEra(2, 60), [row("a", "old", inEra(2, 58))]);
  for (let at = 0; at < 2; at++) cache.apply(TABLE.SERVERS, restored);
  t.deepEqual(asked, [["new", "old"], ["new", "old"]]);
  t.is(cache.find(TABLE.SERVERS, "a")?.value, "new");
  cache.apply(TABLE.SERVERS, changes(inEra(2, 60), inEra(2, 61), [row("a", "2", inEra(2, 61))]));
  t.is(cache.find(TABLE.SERVERS, "a")?.value, "2");
});

// Guards against a row that is written right before the confirmation, which no later read contains.
test("a row that is written again after the first read of a restored store is not taken for an older state", (t) => {
  const cache = createRowCache({ isSetBack: () => true });
  cache.apply(TABLE.SERVERS, whole(inEra(1, 100), [row("a", "leaves", inEra(1, 99))]));
  cache.apply(TABLE.SERVERS, whole(inEra(2, 60), [row("a", "1", inEra(2, 58))]));
  t.is(cache.find(TABLE.SERVERS, "a")?.value, "leaves");
  const confirmation = whole(inEra(2, 62), [row("a", "1", inEra(2, 61))]);
  cache.apply(TABLE.SERVERS, confirmation, { isConfirmation: true });
  t.is(cache.find(TABLE.SERVERS, "a")?.value, "1");
});
