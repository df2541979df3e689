import { Socket } from "node:net";
import test from "ava";
import { createConnectionPool } from "./create_connection_pool.ts";

/** A pool with a clock that is set by hand, and connections that receive bytes on command. */
function setUp() {
  let nowMs = 0;
  const pool = createConnectionPool({ nowMs: () => nowMs, wallMs: () => nowMs });
  const suspects: string[] = [];
  const connect = () => {
    let bytesRead = 0;
    const socket = new Socket();
    Object.defineProperty(socket, "bytesRead", { get: () => bytesRead });
    return { socket, receive: () => void (bytesRead += 1) };
  };
  const start = (name: string, { socket }: { socket: Socket }) =>
    pool.startCall(socket, () => void suspects.push(name));
  return { connect, start, suspects, setTime: (ms: number) => void (nowMs = ms) };
}

type Pool = ReturnType<typeof setUp>;

/** Opens a connection, on which a call is answered at once. */
function openUsed({ connect, start }: Pool) {
  const connection = connect();
  const call = start("first", connection);
  connection.receive();
  call.end();
  return connection;
}

test("a silent call makes the calls on connections of its age suspect, and closes the idle ones", (t) => {
  const pool = setUp();
  const [a, b, idle] = [openUsed(pool), openUsed(pool), openUsed(pool)];
  pool.setTime(1_000);
  const call = pool.start("a", a);
  pool.start("b", b);
  pool.setTime(2_000);
  t.false(call.hasReceived());
  call.reportSilence();
  t.deepEqual(pool.suspects, ["a", "b"]);
  t.true(idle.socket.destroyed);
  t.false(b.socket.destroyed);
});

test("a connection that has received a byte since the silent call was sent is sound", (t) => {
  const pool = setUp();
  const [a, busy, idle] = [openUsed(pool), openUsed(pool), openUsed(pool)];
  pool.setTime(1_000);
  const call = pool.start("a", a);
  pool.start("busy", busy);
  const ended = pool.start("idle", idle);
  pool.setTime(1_500);
  busy.receive();
  idle.receive();
  ended.end();
  pool.setTime(2_000);
  call.reportSilence();
  t.deepEqual(pool.suspects, ["a"]);
  t.false(idle.socket.destroyed);
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
