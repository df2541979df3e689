import { once } from "node:events";
import type { Socket } from "node:net";
import { sleep } from "@jaypass/kernel";

/** What a client without limits knows of the server that it connects to. */
export interface MisbehavingTarget {
  /** Path of a `GET` request that the server answers. */
  getPath: string;
  /** Path to which bodies are sent. */
  postPath: string;
  /** Header lines of each request, each with its line end. */
  headers: string;
  /** Header whose value the server reads as a list of `ID:NUMBER` entries; none by default. */
  listHeader?: string;
  /** Largest head that the server allows. */
  maxHeadBytes: number;
  /** Largest body that the server allows. */
  maxBodyBytes: number;
  /** Time for which a client sends, or keeps its connection open, in milliseconds. */
  durationMs: number;
}

/** Sends on a new connection until its time has passed or the connection has closed. */
export type MisbehavingClient = (socket: Socket, target: MisbehavingTarget) => Promise<void>;

/** Bytes by which a body stops short of its limit. */
const MISSING_BYTES = 10;

/** Bytes that are written at a time. */
const BLOCK_BYTES = 65_536;

/** Time between two header lines that are sent one by one. */
const LINE_INTERVAL_MS = 20;

const formatGet = ({ getPath, headers }: MisbehavingTarget, lines = "") =>
  `GET ${getPath} HTTP/1.1\r\n${headers}${lines}\r\n`;

/** Formats a `GET` request of the largest legal size that consists of one line over and over. */
function formatLargeHead(target: MisbehavingTarget, line: string): string {
  const rest = target.maxHeadBytes - formatGet(target).length;
  return formatGet(target, line.repeat(Math.floor(rest / line.length)));
}

/** Writes pieces as fast as the connection takes them, for the time or until it is closed. */
async function flood(
  socket: Socket,
  { durationMs }: MisbehavingTarget,
  { first = "", repeat }: { first?: string; repeat: string },
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const block = Buffer.from(repeat.repeat(Math.ceil(BLOCK_BYTES / repeat.length)));
  if (first !== "") socket.write(first);
  while (!socket.destroyed && performance.now() < endMs) {
    // Polls, since neither a drain nor a close need come within the time.
    if (socket.writableLength === 0) socket.write(block);
    await sleep(1);
  }
}

/** Sends a request, waits for its answer, and goes on so for the time. */
async function repeatRequest(socket: Socket, { durationMs }: MisbehavingTarget, request: string) {
  const timeout = AbortSignal.timeout(durationMs);
  const endMs = performance.now() + durationMs;
  while (!socket.destroyed && performance.now() < endMs) {
    socket.write(request);
    await once(socket, "data", { signal: timeout }).catch(() => {});
  }
}

/** Sends all but the last bytes of a body, and keeps the connection open. */
async function stopShort(
  socket: Socket,
  { durationMs }: MisbehavingTarget,
  head: string,
  body: string,
) {
  socket.write(head);
  socket.write(body);
  await sleep(durationMs);
}

const formatPost = ({ postPath, headers }: MisbehavingTarget, line: string) =>
  `POST ${postPath} HTTP/1.1\r\n${headers}${line}\r\n\r\n`;

function stopChunksShort(chunkBytes: number): MisbehavingClient {
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  return (socket, target) => {
    const bytes = target.maxBodyBytes - MISSING_BYTES;
    const body = chunk.repeat(Math.floor(bytes / chunkBytes));
    return stopShort(socket, target, formatPost(target, "Transfer-Encoding: chunked"), body);
  };
}

/** Formats a head of the largest legal size with a list that fills it, of a request with a body. */
function formatListHead(target: MisbehavingTarget): string {
  const lines = `Content-Length: ${target.maxBodyBytes}\r\n${target.listHeader ?? "List"}: `;
  const entries: string[] = [];
  let bytes = formatPost(target, lines).length;
  for (let at = 0;; at++) {
    const entry = `${at.toString(16)}:,`;
    bytes += entry.length;
    if (bytes > target.maxHeadBytes) return formatPost(target, `${lines}${entries.join("")}`);
    entries.push(entry);
  }
}

/** Clients that send what a server must bound. None of them reads unless its name says so. */
export const MISBEHAVING_CLIENT = {
  /** Legal heads of very many short lines, each after the answer to the one before it. */
  headsOfShortLines: (socket, target) =>
    repeatRequest(socket, target, formatLargeHead(target, "a:b\r\n")),
  /** Legal heads of lines that consist of blanks, each after the answer to the one before it. */
  headsOfBlankLines: (socket, target) =>
    repeatRequest(socket, target, formatLargeHead(target, `a:${" ".repeat(8)}\r\n`)),
  /** Legal heads of very many short lines, one behind the other. */
  pipelinedHeads: (socket, target) =>
    flood(socket, target, { repeat: formatLargeHead(target, "a:b\r\n") }),
  /** Small requests one behind the other. */
  pipelinedRequests: (socket, target) => flood(socket, target, { repeat: formatGet(target) }),
  /** Small requests one behind the other, whose answers are read. */
  pipelinedRequestsThatRead: (socket, target) => {
    socket.resume();
    return flood(socket, target, { repeat: formatGet(target) });
  },
  /** A head of many lines without end. */
  endlessHead: (socket, target) =>
    flood(socket, target, { first: formatGet(target).slice(0, -2), repeat: "a:b\r\n" }),
  /** A header line without end. */
  endlessHeaderLine: (socket, target) =>
    flood(socket, target, { first: `${formatGet(target).slice(0, -2)}a:`, repeat: "x" }),
  /** Empty lines before a request, without end. */
  emptyLines: (socket, target) => flood(socket, target, { repeat: "\r\n" }),
  /** Header lines one by one, with pauses. */
  drippedHeaderLines: async (socket, target) => {
    const endMs = performance.now() + target.durationMs;
    socket.write(formatGet(target).slice(0, -2));
    while (!socket.destroyed && performance.now() < endMs) {
      socket.write("a:b\r\n");
      await sleep(LINE_INTERVAL_MS);
    }
  },
  /** A body in large chunks that stops short of its limit. */
  largeChunks: stopChunksShort(BLOCK_BYTES),
  /** A body of stated length that stops short of it. */
  statedLength: (socket, target) => {
    const body = "x".repeat(target.maxBodyBytes - MISSING_BYTES);
    const head = formatPost(target, `Content-Length: ${target.maxBodyBytes}`);
    return stopShort(socket, target, head, body);
  },
  /** A body in chunks of one byte that stops short of its limit. */
  oneByteChunks: stopChunksShort(1),
  /** Chunks of one byte with a long extension each, without end. */
  extendedChunks: (socket, target) =>
    flood(socket, target, {
      first: formatPost(target, "Transfer-Encoding: chunked"),
      repeat: `1${";a=b".repeat(2_000)}\r\nx\r\n`,
    }),
  /** An extension of a chunk without end. */
  chunkExtensions: (socket, target) =>
    flood(socket, target, {
      first: `${formatPost(target, "Transfer-Encoding: chunked")}1`,
      repeat: ";a=b",
    }),
  /** Trailers without end. */
  trailers: (socket, target) =>
    flood(socket, target, {
      first: `${formatPost(target, "Transfer-Encoding: chunked")}0\r\n`,
      repeat: "a:b\r\n",
    }),
  /** A legal head with a list of thousands of entries, without its body. */
  longList: (socket, target) => stopShort(socket, target, formatListHead(target), ""),
  /** Half of a head, and nothing more. */
  halfHead: async (socket, target) => {
    socket.write(formatGet(target).slice(0, -2));
    await sleep(target.durationMs);
  },
  /** No byte. */
  idle: (_socket, target) => sleep(target.durationMs),
} as const satisfies Record<string, MisbehavingClient>;

/** Name of one of {@linkcode MISBEHAVING_CLIENT}. */
export type MisbehavingClientName = keyof typeof MISBEHAVING_CLIENT;
