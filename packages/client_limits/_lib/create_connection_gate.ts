import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import type { Clock, Millis } from "@jaypass/kernel";
import {
  MAX_FRAMED_SLICE_BYTES,
  MAX_TURN_MS,
  MAX_UNENDED_HEAD_BYTES,
  MAX_UNREAD_BYTES,
  MAX_UNREAD_PIECES,
  MIN_SLICE_COST_BYTES,
  PARSE_TURN_BYTES,
} from "../constants.ts";
import type { LimitedServer } from "../create_client_limits.ts";
import { chooseSlice, TAIL_BYTES } from "./choose_slice.ts";
import type { AddressReader, AddressReads } from "./create_address_reads.ts";
import { createHeadMemory } from "./create_head_memory.ts";
import type { HeadMemory } from "./create_head_memory.ts";
import { createSocketReads } from "./create_socket_reads.ts";
import type { SocketReads } from "./create_socket_reads.ts";
import type { TurnMember, TurnQueue, TurnResult } from "./create_turn_queue.ts";
import type { ConnectionMemory } from "./open_connection_memory.ts";
import { createPiece, joinPieces, sumCosts } from "./unread_pieces.ts";
import type { Piece } from "./unread_pieces.ts";

/** Passes the bytes of callers to the parser of Node.js, in turns. */
export interface ConnectionGate {
  /** Takes over the reads of a connection, on which the server of Node.js listens already. */
  open(socket: Socket, holder: ConnectionMemory): void;
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
interface GateRecord extends TurnMember, AddressReader {
  socket: Socket;
  holder: ConnectionMemory;
  reads: SocketReads;
  parse: (bytes: Buffer) => void;
  pieces: Piece[];
  /** Time at which the bytes came that are being parsed. */
  parsedAtMs: Millis | undefined;
  unreadBytes: number;
  /** Last bytes that were parsed. */
  tail: Buffer;
  /** Request whose body is being parsed. */
  current: IncomingMessage | undefined;
  /** Bytes of its body that are left; undefined if its length is not stated. */
  bodyBytes: number | undefined;
  /** Memory of the head and the trailers that are being parsed. */
  head: HeadMemory;
  /** True while the parser has no place for more bytes. */
  isParserPaused: boolean;
  /** True while its bytes are being parsed. */
  isParsing: boolean;
}

/** The parts of a socket that the HTTP server of Node.js adds. */
interface ServerSocket {
  /** The parser, with the trailers so far as names and values; null once the socket was given up. */
  parser?: { _headers?: readonly string[] } | null;
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
 * @param options clock, the server with the requests in progress on each connection, what all servers
 * of the process share, what counts bytes that are dropped unparsed, and what is called when a turn
 * ends for its time
 * @returns the gate
 *
 * @example
 * server.on("connection", (socket) => gate.open(socket, holder));
 */
export function createConnectionGate(
  { clock, turns, addressReads, drop, onLongTurn, server }: {
    clock: Clock;
    turns: TurnQueue;
    addressReads: AddressReads;
    drop: (bytes: number) => void;
    onLongTurn: () => void;
    server: Pick<LimitedServer, "listAnswers" | "isEnding" | "onEndlessHead">;
  },
): ConnectionGate {
  const records = new WeakMap<Socket, GateRecord>();

  const isOpen = ({ socket }: GateRecord) =>
    !socket.destroyed && !socket.writableEnded && !server.isEnding(socket) &&
    (socket as ServerSocket).parser != null;
  /** Reports whether a request in progress holds back the bytes behind it. */
  const hasWholeRequest = ({ socket }: GateRecord) =>
    server.listAnswers(socket).at(-1)?.req.complete === true;
  const canParse = (record: GateRecord) => {
    if (record.unreadBytes === 0 || record.isParserPaused) return false;
    if ((record.socket as ServerSocket)._paused === true) return false;
    return !hasWholeRequest(record);
  };
  const countUnread = (record: GateRecord, bytes: number) => {
    record.unreadBytes += bytes;
    addressReads.count(record, bytes);
  };
  const discard = (record: GateRecord) => {
    record.head.endHead();
    record.head.endTrailers();
    record.holder.release(sumCosts(record.pieces));
    record.pieces = [];
    countUnread(record, -record.unreadBytes);
  };
  /** Reads the socket while few bytes are unread; what a closing connection sends is discarded. */
  const updateFlow = (record: GateRecord) => {
    if (record.unreadBytes >= MAX_UNREAD_BYTES || !addressReads.mayRead(record)) {
      record.reads.pause();
    } else record.reads.resume();
  };

  const takeSlice = (record: GateRecord, turnBytes: number): Buffer => {
    const [piece] = record.pieces;
    if (piece === undefined) return Buffer.alloc(0);
    const { bytes, atMs } = piece;
    const { tail, bodyBytes } = record;
    const length = chooseSlice(bytes, { tail, bodyBytes, turnBytes });
    const slice = bytes.subarray(0, length);
    record.parsedAtMs = atMs;
    countUnread(record, -length);
    record.tail = Buffer.concat([tail, slice.subarray(-TAIL_BYTES)]).subarray(-TAIL_BYTES);
    if (length === bytes.length) {
      record.pieces.shift();
      record.holder.release(piece.cost);
    } else piece.bytes = bytes.subarray(length);
    return slice;
  };
  /** Finds out to which request the parsed bytes belong. */
  const recordRequest = (record: GateRecord, length: number) => {
    const last = server.listAnswers(record.socket).at(-1)?.req;
    if (last === undefined || last.complete) {
      record.bodyBytes = undefined;
      // A request that has ended, or one that is not handled, ends the head as well.
      if (last !== record.current) record.head.endHead();
      record.current = last;
    } else if (last === record.current) {
      if (record.bodyBytes !== undefined) record.bodyBytes -= length;
      if (record.bodyBytes === 0) record.bodyBytes = undefined;
    } else {
      record.current = last;
      const stated = Number(last.headers["content-length"]);
      record.bodyBytes = stated > 0 ? stated : undefined;
      record.head.endHead();
    }
  };

  const offer = (record: GateRecord) => {
    // Node.js resumes the socket from within the parser, which must not be called again meanwhile.
    if (!record.isParsing) turns.offer(record);
  };
  const runTurn = (record: GateRecord, mostBytes: number, mostMs: Millis): TurnResult => {
    const endMs = clock.nowMs() + mostMs;
    let turnBytes = mostBytes;
    let requests = 0;
    while (turnBytes > 0 && isOpen(record) && canParse(record)) {
      const isHead = server.listAnswers(record.socket).length === 0;
      const sliceBytes = record.bodyBytes === undefined
        ? Math.min(turnBytes, MAX_FRAMED_SLICE_BYTES)
        : turnBytes;
      const slice = takeSlice(record, sliceBytes);
      turnBytes -= Math.max(slice.length, MIN_SLICE_COST_BYTES);
      if (isHead) record.head.count(slice);
      if (!isOpen(record)) break;
      const { current } = record;
      record.isParsing = true;
      record.parse(slice);
      record.isParsing = false;
      record.parsedAtMs = undefined;
      recordRequest(record, slice.length);
      if (record.current?.complete === false) {
        record.head.countTrailers((record.socket as ServerSocket).parser?._headers ?? []);
      }
      if (record.current !== undefined && record.current !== current) requests += 1;
      if (record.head.bytes() > MAX_UNENDED_HEAD_BYTES) server.onEndlessHead(record.socket);
      if (clock.nowMs() < endMs) continue;
      onLongTurn();
      break;
    }
    if (!isOpen(record)) discard(record);
    if (!record.socket.destroyed) updateFlow(record);
    return { isUnfinished: isOpen(record) && canParse(record), requests };
  };

  const take = (record: GateRecord, bytes: Buffer) => {
    if (!isOpen(record)) {
      drop(bytes.length);
      return discard(record);
    }
    const atMs = clock.nowMs();
    const piece = createPiece(bytes, atMs);
    record.pieces.push(piece);
    countUnread(record, bytes.length);
    record.holder.charge(piece.cost);
    if (record.pieces.length > MAX_UNREAD_PIECES) {
      record.holder.release(sumCosts(record.pieces));
      record.pieces = [joinPieces(record.pieces, atMs)];
      record.holder.charge(sumCosts(record.pieces));
    }
    updateFlow(record);
    if (canParse(record)) offer(record);
  };

  return {
    open(socket, holder) {
      const [parse] = socket.listeners("data");
      if (parse === undefined) return;
      const record: GateRecord = {
        address: socket.remoteAddress ?? "",
        socket,
        holder,
        reads: createSocketReads(socket),
        isReady: () => record.unreadBytes === 0 && !hasWholeRequest(record),
        updateFlow: () => updateFlow(record),
        run: () => runTurn(record, PARSE_TURN_BYTES, MAX_TURN_MS),
        parse: parse as GateRecord["parse"],
        pieces: [],
        parsedAtMs: undefined,
        unreadBytes: 0,
        tail: Buffer.alloc(0),
        current: undefined,
        bodyBytes: undefined,
        head: createHeadMemory(holder),
        isParserPaused: false,
        isParsing: false,
        isWaiting: false,
      };
      records.set(socket, record);
      addressReads.add(record);
      socket.removeListener("data", record.parse);
      // Node.js pauses and resumes the socket for its parser.
      socket.pause = () => {
        record.isParserPaused = true;
        return socket;
      };
      socket.resume = () => {
        record.isParserPaused = false;
        updateFlow(record);
        if (record.unreadBytes > 0) offer(record);
        return socket;
      };
      socket.on("data", (piece: Buffer) => take(record, piece));
      socket.once("close", () => {
        discard(record);
        addressReads.remove(record);
      });
      Socket.prototype.resume.call(socket);
      updateFlow(record);
    },
    advance(socket) {
      const record = records.get(socket);
      if (record === undefined) return;
      record.current = undefined;
      record.head.endTrailers();
      if (record.unreadBytes > 0) offer(record);
    },
    flush(socket) {
      const record = records.get(socket);
      if (record !== undefined) runTurn(record, Infinity, Infinity);
    },
    hasNext(socket) {
      const record = records.get(socket);
      if (record === undefined || record.unreadBytes === 0 || !isOpen(record)) return false;
      return hasWholeRequest(record);
    },
    readHead(socket) {
      const { parsedAtMs, head } = records.get(socket) ?? {};
      if (parsedAtMs === undefined || head === undefined) return undefined;
      return { arrivalMs: parsedAtMs, bytes: head.bytes() };
    },
  };
}
