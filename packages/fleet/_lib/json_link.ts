import { connect } from "node:net";
import type { Socket } from "node:net";
import type { Millis } from "@jaypass/kernel";
import { LINK_MAX_BUFFER_BYTES } from "../constants.ts";
import { LinkError } from "../errors.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";

/** A connection that carries JSON objects, one a line. */
export interface JsonLink<In, Out> {
  /** Sends a message; a link whose peer reads too slowly is closed instead. */
  send(message: Out): void;
  /** Sends a message that was encoded once for many links. */
  sendLine(line: string): void;
  /** Messages as they come; ends when the peer closes. */
  messages(): AsyncGenerator<In>;
  /** Closes the connection. */
  close(): void;
}

/**
 * Wraps a socket as a link.
 *
 * @param socket a connected socket
 * @param options silence after which the link fails
 * @returns the link; its messages fail with a {@linkcode LinkError} after a silence
 */
export function createJsonLink<In, Out>(
  socket: Socket,
  options: { silentMs: Millis },
): JsonLink<In, Out> {
  socket.setNoDelay(true);
  // The socket's own timeout does not serve: writes to a dead peer would restart it.
  const silence = setTimeout(
    () => socket.destroy(new LinkError("Peer is silent")),
    options.silentMs,
  );
  socket.once("close", () => clearTimeout(silence));
  // Errors are seen by the reader; without a listener they would end the process.
  socket.on("error", () => {});
  const sendLine = (line: string) => {
    if (socket.destroyed) return;
    socket.write(line);
    if (socket.writableLength > LINK_MAX_BUFFER_BYTES) {
      socket.destroy(new LinkError("Peer reads too slowly"));
    }
  };
  return {
    send: (message) => sendLine(encodeMessage(message)),
    sendLine,
    messages: () => readMessages<In>(socket, () => silence.refresh()),
    close: () => socket.destroy(),
  };
}

async function* readMessages<In>(socket: Socket, onChunk: () => void): AsyncGenerator<In> {
  // Chunks of an unfinished line are joined once it ends: a large table comes in many of them.
  let parts: string[] = [];
  try {
    for await (const chunk of socket.setEncoding("utf8")) {
      onChunk();
      const [end = "", ...lines] = chunk.split("\n");
      parts.push(end);
      for (const line of lines) {
        yield decodeMessage<In>(parts.join(""));
        parts = [line];
      }
    }
  } catch (err) {
    throw new LinkError("Link failed", { cause: err });
  }
}

/**
 * Connects to another host.
 *
 * @param address IP address and port
 * @param timeoutMs milliseconds to connect
 * @returns the connected socket
 * @throws {LinkError} when no connection comes about in time
 */
export function connectSocket(address: string, timeoutMs: Millis): Promise<Socket> {
  const separator = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  });
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => socket.destroy(new Error("Connection timed out")), timeoutMs);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve(socket);
    });
    socket.once("error", (err) => {
      clearTimeout(timer);
      reject(new LinkError(`No link to "${address}"`, { cause: err }));
    });
  });
}
