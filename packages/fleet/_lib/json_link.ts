import { connect } from "node:net";
import type { Socket } from "node:net";
import type { MemoryAccount, MemoryBudget } from "@jaypass/client_limits";
import { runAfterRead } from "@jaypass/kernel";
import type { Millis } from "@jaypass/kernel";
import { LINK_MAX_BUFFER_BYTES, LINK_MAX_LINE_CHARACTERS } from "../constants.ts";
import { LinkError } from "../errors.ts";
import { isAddress } from "../is_address.ts";
import type { LinkTraffic } from "./create_link_traffic.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";

/** A connection that carries JSON objects, each on one line. */
export interface JsonLink<In, Out> {
  /** Sends a message. Closes the link when the peer reads too slowly. */
  send(message: Out): void;
  /** Sends a message with its encoded line, so that a broadcast is encoded only once. */
  sendLine(message: Out, line: string): void;
  /** Yields received messages until the peer closes the connection. */
  messages(): AsyncGenerator<In>;
  /** Closes the connection. */
  close(): void;
}

/**
 * Wraps a socket as a link.
 *
 * @param socket a connected socket
 * @param options `idleTimeoutMs`: milliseconds without received data after which the link fails;
 * `parse`: checks a decoded message, and returns undefined for one to skip; `traffic`: counts the
 * bytes of messages; `memory`: bounds the lines that have not ended, over several links
 * @returns the link; `messages` throws a {@linkcode LinkError} when the link fails or a message is
 * not valid
 */
export function createJsonLink<In, Out>(
  socket: Socket,
  options: {
    idleTimeoutMs: Millis;
    parse: (value: unknown) => In | undefined;
    traffic?: Pick<LinkTraffic, "count">;
    memory?: MemoryAccount;
  },
): JsonLink<In, Out> {
  socket.setNoDelay(true);
  // `socket.setTimeout` does not work here, because writes to a dead peer would restart it.
  const onIdle = () => {
    const { bytesRead } = socket;
    runAfterRead(() => {
      if (socket.bytesRead > bytesRead) idleTimer.refresh();
      else socket.destroy(new LinkError("Peer sent no data within the idle timeout"));
    });
  };
  const idleTimer = setTimeout(onIdle, options.idleTimeoutMs);
  socket.once("close", () => clearTimeout(idleTimer));
  // `messages` reports errors to its reader; without a listener they would end the process.
  socket.on("error", () => {});
  const { parse, traffic, memory } = options;
  const holder = memory?.open(() => socket.destroy(createSharedLimitError()));
  socket.once("close", () => holder?.close());
  const sendLine = (message: Out, line: string) => {
    if (socket.destroyed) return;
    traffic?.count(message, "sent", line);
    socket.write(line);
    if (socket.writableLength > LINK_MAX_BUFFER_BYTES) {
      socket.destroy(new LinkError("Send buffer of the link is full; peer reads too slowly"));
    }
  };
  const parseLine = (line: string) => {
    const value = decodeMessage(line);
    const message = parse(value);
    if (message !== undefined) traffic?.count(value, "received", line);
    return message;
  };
  return {
    send: (message) => sendLine(message, encodeMessage(message)),
    sendLine,
    messages: () =>
      readMessages<In>(socket, { parseLine, memory: holder, onChunk: () => idleTimer.refresh() }),
    close: () => socket.destroy(),
  };
}

function createSharedLimitError(): LinkError {
  return new LinkError("Peers sent lines that are too long together");
}

async function* readMessages<In>(
  socket: Socket,
  { parseLine, memory, onChunk }: {
    parseLine: (line: string) => In | undefined;
    memory: MemoryBudget | undefined;
    onChunk: () => void;
  },
): AsyncGenerator<In> {
  // The chunks of a line are joined only once, at its end, because a large table takes many chunks.
  let parts: string[] = [];
  let length = 0;
  let reserved = 0;
  try {
    for await (const chunk of socket.setEncoding("utf8")) {
      onChunk();
      const [end = "", ...lines] = chunk.split("\n");
      parts.push(end);
      length += end.length;
      for (const line of lines) {
        const message = parseLine(parts.join(""));
        if (message !== undefined) yield message;
        parts = [line];
        length = line.length;
      }
      if (length > LINK_MAX_LINE_CHARACTERS) {
        throw new LinkError("Peer sent a line that is too long");
      }
      if (length < reserved) memory?.release(reserved - length);
      else if (memory?.tryReserve(length - reserved) === false) throw createSharedLimitError();
      reserved = length;
    }
  } catch (err) {
    throw new LinkError(`Reading from the link failed: ${(err as Error).message}`, { cause: err });
  }
}

/**
 * Connects to another host.
 *
 * @param address `ip:port` of the host
 * @param timeoutMs milliseconds to connect
 * @returns the connected socket
 * @throws {LinkError} when no connection is established in time
 */
export async function connectSocket(address: string, timeoutMs: Millis): Promise<Socket> {
  // `connect` throws for a port out of range.
  if (!isAddress(address)) throw new LinkError(`Address of host "${address}" is not IP:port`);
  const separator = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  });
  return await new Promise((resolve, reject) => {
    const onTimeout = () => {
      if (socket.connecting) socket.destroy(new Error("Connection timed out"));
    };
    const timer = setTimeout(() => runAfterRead(onTimeout), timeoutMs);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.once("error", (err) => {
      clearTimeout(timer);
      reject(new LinkError(`Connecting to host at "${address}" failed`, { cause: err }));
    });
  });
}
