import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import {
  HEADER_LINE_COST_BYTES,
  MAX_UNENDED_HEAD_BYTES,
  MAX_UNREAD_BYTES,
  MAX_UNREAD_PIECES,
  MIN_SLICE_COST_BYTES,
  PARSE_TURN_BYTES,
  PIECE_COST_BYTES,
} from "../constants.ts";
import type { Clock, Millis } from "@jaypass/kernel";
import { chooseSlice, TAIL_BYTES } from "./choose_slice.ts";
import type { MemoryHolder } from "../create_memory_account.ts";
import type { LimitedServer } from "../create_client_limits.ts";

const LINE_END = 0x0a;

/** Passes the bytes of callers to the parser of Node.js, in turns. */
export interface ConnectionGate {
  /** Takes over the reads of a connection, on which the server of Node.js listens already. */
  open(socket: Socket, holder: MemoryHolder): void;
  /** Goes on with a connection after an answer on it has ended. */
  advance(socket: Socket): void;
  /** Parses all bytes of a connection that may be parsed now, out of turn. */
  flush(socket: Socket): void;
  /** Reports whether bytes of a next request wait behind whole requests in progress. */
  hasNext(socket: Socket): boolean;
  /** Reads when the head came that is being parsed, and its length; undefined outside of the parser. */
  readHead(socket: Socket): ReceivedHead | undefined;
}

/** A head that was received whole. */
export interface ReceivedHead {
  /** Time at which its end came. */
  arrivalMs: Millis;
  /** Bytes as received, with empty lines before it. */
  bytes: number;
}

/** The unread bytes of a connection, and what is known of those that were parsed. */
interface GateRecord {
  socket: Socket;
  holder: MemoryHolder;
  parse: (bytes: Buffer) => void;
  pieces: { bytes: Buffer; atMs: Millis }[];
  /** Time at which the bytes came that are being parsed. */
  parsedAtMs: Millis | undefined;
  unreadBytes: number;
  /** Cost at which the pieces are counted. */
  unreadCost: number;
  /** Last bytes that were parsed. */
  tail: Buffer;
  /** Request whose body is being parsed. */
  current: IncomingMessage | undefined;
  /** Bytes of its body that are left; undefined if its length is not stated. */
  bodyBytes: number | undefined;
  /** Bytes of a head that has not ended, and their cost. */
  headBytes: number;
  headCost: number;
  /** True while the parser has no place for more bytes. */
  isParserPaused: boolean;
  isWaiting: boolean;
}

/** The parts of a socket that the HTTP server of Node.js adds. */
interface ServerSocket {
  /** The parser; null once the server has given up the socket. */
  parser?: object | null;
  /** True while too much of an answer is queued. */
  _paused?: boolean;
}

/**
 * Creates the gate between the connections of callers and the HTTP parser.
 *
 * Node.js parses all that was read at once, and every request that it finds is handled. The gate keeps
 * a second request of a connection unread until the answers before it have left, gives each connection
 * a turn of limited length, and counts what it holds. A socket is still read while its request is in
 * progress, up to a bound, since only a read tells that the caller has left.
 *
 * @param options clock, and the server with the requests in progress on each connection
 * @returns the gate
 *
 * @example
 * server.on("connection", (socket) => gate.open(socket, holder));
 */
export function createConnectionGate(
  { clock, server }: {
    clock: Clock;
    server: Pick<LimitedServer, "listAnswers" | "isEnding" | "onEndlessHead">;
  },
): ConnectionGate {
  const records = new WeakMap<Socket, GateRecord>();
  const waiting: GateRecord[] = [];
  let isScheduled = false;

  const isOpen = ({ socket }: GateRecord) =>
    !socket.destroyed && !socket.writableEnded && !server.isEnding(socket) &&
    (socket as ServerSocket).parser != null;
  const canParse = (record: GateRecord) => {
    if (record.unreadBytes === 0 || record.isParserPaused) return false;
    if ((record.socket as ServerSocket)._paused === true) return false;
    const last = server.listAnswers(record.socket).at(-1);
    return last === undefined || !last.req.complete;
  };
  const discard = (record: GateRecord) => {
    record.pieces = [];
    record.unreadBytes = 0;
    record.holder.release(record.unreadCost + record.headCost);
    record.unreadCost = 0;
    record.headCost = 0;
  };
  /** Reads the socket while few bytes are unread; what a closing connection sends is discarded. */
  const updateFlow = (record: GateRecord) => {
    const { socket, unreadBytes } = record;
    if (unreadBytes > MAX_UNREAD_BYTES) Socket.prototype.pause.call(socket);
    else if (socket.isPaused() || socket.readableFlowing !== true) {
      Socket.prototype.resume.call(socket);
    }
  };

  const takeSlice = (record: GateRecord, turnBytes: number): Buffer => {
    const [{ bytes, atMs } = { bytes: Buffer.alloc(0), atMs: 0 }] = record.pieces;
    const { tail, bodyBytes } = record;
    const length = chooseSlice(bytes, { tail, bodyBytes, turnBytes });
    const slice = bytes.subarray(0, length);
    if (length === bytes.length) record.pieces.shift();
    else record.pieces[0] = { bytes: bytes.subarray(length), atMs };
    record.parsedAtMs = atMs;
    record.unreadBytes -= length;
    record.tail = Buffer.concat([tail, slice.subarray(-TAIL_BYTES)]).subarray(-TAIL_BYTES);
    const cost = record.unreadBytes === 0 ? record.unreadCost : length;
    record.unreadCost -= cost;
    record.holder.release(cost);
    return slice;
  };
  /** Counts the bytes and lines of a head that has not ended yet. */
  const countHead = (record: GateRecord, slice: Buffer) => {
    let lines = 0;
    for (const byte of slice) if (byte === LINE_END) lines += 1;
    const cost = slice.length + lines * HEADER_LINE_COST_BYTES;
    record.headBytes += slice.length;
    record.headCost += cost;
    record.holder.charge(cost);
  };
  /** Finds out to which request the parsed bytes belong. */
  const recordRequest = (record: GateRecord, length: number) => {
    const last = server.listAnswers(record.socket).at(-1)?.req;
    if (last === undefined || last.complete) {
      record.bodyBytes = undefined;
      // A request that has ended, or one that is not handled, ends the head as well.
      if (last !== record.current) resetHead(record);
      record.current = last;
    } else if (last === record.current) {
      if (record.bodyBytes !== undefined) record.bodyBytes -= length;
      if (record.bodyBytes === 0) record.bodyBytes = undefined;
    } else {
      record.current = last;
      const stated = Number(last.headers["content-length"]);
      record.bodyBytes = stated > 0 ? stated : undefined;
      resetHead(record);
    }
  };
  const resetHead = (record: GateRecord) => {
    record.holder.release(record.headCost);
    record.headBytes = 0;
    record.headCost = 0;
  };

  const runTurn = (record: GateRecord, mostBytes: number) => {
    let turnBytes = mostBytes;
    while (turnBytes > 0 && isOpen(record) && canParse(record)) {
      const isHead = server.listAnswers(record.socket).length === 0;
      const slice = takeSlice(record, turnBytes);
      turnBytes -= Math.max(slice.length, MIN_SLICE_COST_BYTES);
      if (isHead) countHead(record, slice);
      if (!isOpen(record)) break;
      record.parse(slice);
      record.parsedAtMs = undefined;
      recordRequest(record, slice.length);
      if (record.headBytes > MAX_UNENDED_HEAD_BYTES) server.onEndlessHead(record.socket);
    }
    if (!isOpen(record)) discard(record);
    if (record.socket.destroyed) return;
    updateFlow(record);
    if (isOpen(record) && canParse(record)) enqueue(record);
  };
  const enqueue = (record: GateRecord) => {
    if (record.isWaiting) return;
    record.isWaiting = true;
    waiting.push(record);
    schedule();
  };
  const schedule = () => {
    if (isScheduled || waiting.length === 0) return;
    isScheduled = true;
    // One connection has its turn between two polls, so that others are read and answered meanwhile.
    setImmediate(() => {
      isScheduled = false;
      const next = waiting.shift();
      if (next !== undefined) {
        next.isWaiting = false;
        runTurn(next, PARSE_TURN_BYTES);
      }
      schedule();
    });
  };

  const take = (record: GateRecord, piece: Buffer) => {
    if (!isOpen(record)) return discard(record);
    const atMs = clock.nowMs();
    record.pieces.push({ bytes: piece, atMs });
    record.unreadBytes += piece.length;
    record.unreadCost += piece.length + PIECE_COST_BYTES;
    record.holder.charge(piece.length + PIECE_COST_BYTES);
    if (record.pieces.length > MAX_UNREAD_PIECES) {
      record.holder.release(record.unreadCost - record.unreadBytes - PIECE_COST_BYTES);
      record.unreadCost = record.unreadBytes + PIECE_COST_BYTES;
      record.pieces = [{ bytes: Buffer.concat(record.pieces.map(({ bytes }) => bytes)), atMs }];
    }
    if (record.isWaiting) updateFlow(record);
    else runTurn(record, PARSE_TURN_BYTES);
  };

  return {
    open(socket, holder) {
      const [parse] = socket.listeners("data");
      if (parse === undefined) return;
      const record: GateRecord = {
        socket,
        holder,
        parse: parse as GateRecord["parse"],
        pieces: [],
        parsedAtMs: undefined,
        unreadBytes: 0,
        unreadCost: 0,
        tail: Buffer.alloc(0),
        current: undefined,
        bodyBytes: undefined,
        headBytes: 0,
        headCost: 0,
        isParserPaused: false,
        isWaiting: false,
      };
      records.set(socket, record);
      socket.removeListener("data", record.parse);
      // Node.js pauses and resumes the socket for its parser.
      socket.pause = () => {
        record.isParserPaused = true;
        return socket;
      };
      socket.resume = () => {
        record.isParserPaused = false;
        updateFlow(record);
        if (record.unreadBytes > 0) enqueue(record);
        return socket;
      };
      socket.on("data", (piece: Buffer) => take(record, piece));
      updateFlow(record);
    },
    advance(socket) {
      const record = records.get(socket);
      if (record === undefined) return;
      record.current = undefined;
      if (record.unreadBytes > 0) enqueue(record);
    },
    flush(socket) {
      const record = records.get(socket);
      if (record !== undefined) runTurn(record, Infinity);
    },
    hasNext(socket) {
      const record = records.get(socket);
      if (record === undefined || record.unreadBytes === 0 || !isOpen(record)) return false;
      return server.listAnswers(socket).at(-1)?.req.complete === true;
    },
    readHead(socket) {
      const { parsedAtMs, headBytes = 0 } = records.get(socket) ?? {};
      return parsedAtMs === undefined ? undefined : { arrivalMs: parsedAtMs, bytes: headBytes };
    },
  };
}
