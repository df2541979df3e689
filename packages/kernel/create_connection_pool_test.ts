import { Socket } from "node:net";
import test from "ava";
import { createConnectionPool } from "./create_connection_pool.ts";

/** A pool with a clock that is set by hand. */
function setUp() {
  let nowMs = 0;
  const pool = createConnectionPool({ nowMs: () => nowMs, wallMs: () => nowMs });
  const suspects: string[] = [];
  const connect = () => ({ socket: new Socket() });
  const start = (name: string, { socket }: { socket: Socket }) =>
    pool.startCall(socket, () => void suspects.push(name));
  return { connect, start, suspects, setTime: (ms: number) => void (nowMs = ms) };
}

type Pool = ReturnType<typeof setUp>;

/** Opens a connection, on which a call is answered at once. */
function openUsed({ connect, start }: Pool) {
  const connection = connect();
  start("first", connection).end(true);
  return connection;
}

test("a silent call makes the calls on connections of its age suspect, and closes the idle ones", (t) => {
  const pool = setUp();
  const [a, b, idle] = [openUsed(pool), openUsed(pool), openUsed(pool)];
  pool.setTime(1_000);
  const call = pool.start("a", a);
  pool.start("b", b);
  pool.setTime(2_000);
  call.reportSilence();
  t.deepEqual(pool.suspects, ["a", "b"]);
  t.true(idle.socket.destroyed);
  t.false(b.socket.destroyed);
});

test("a connection that has delivered a whole answer since the silent call was sent is sound", (t) => {
  const pool = setUp();
  const [a, busy, idle] = [openUsed(pool), openUsed(pool), openUsed(pool)];
  pool.setTime(1_000);
  const call = pool.start("a", a);
  const ended = [pool.start("busy", busy), pool.start("idle", idle)];
  pool.setTime(1_500);
  for (const { end } of ended) end(true);
  pool.start("busy", busy);
  pool.setTime(2_000);
  call.reportSilence();
  t.deepEqual(pool.suspects, ["a"]);
  t.false(idle.socket.destroyed);
});

test("a connection whose call has ended without a whole answer is not sound", (t) => {
  const pool = setUp();
  const [a, idle] = [openUsed(pool), openUsed(pool)];
  pool.setTime(1_000);
  const call = pool.start("a", a);
  const ended = pool.start("idle", idle);
  pool.setTime(1_500);
  ended.end(false);
  call.reportSilence();
  t.true(idle.socket.destroyed);
});

test("a connection that was opened after the silent call was sent is not suspect", (t) => {
  const pool = setUp();
  const a = openUsed(pool);
  pool.setTime(1_000);
  const call = pool.start("a", a);
  pool.setTime(1_500);
  pool.start("b", pool.connect());
  pool.setTime(2_000);
  call.reportSilence();
  t.deepEqual(pool.suspects, ["a"]);
});

test("a silent call on a connection of its own is not suspect, but older connections are", (t) => {
  const pool = setUp();
  const idle = openUsed(pool);
  pool.setTime(1_000);
  const call = pool.start("a", pool.connect());
  pool.setTime(2_000);
  call.reportSilence();
  t.deepEqual(pool.suspects, []);
  t.true(idle.socket.destroyed);
});

test("a call is told once that its connection is suspect", (t) => {
  const pool = setUp();
  const [a, b] = [openUsed(pool), openUsed(pool)];
  pool.setTime(1_000);
  const call = pool.start("a", a);
  pool.start("b", b);
  pool.setTime(2_000);
  call.reportSilence();
  call.reportSilence();
  t.deepEqual(pool.suspects, ["a", "b"]);
});
