import { Socket } from "node:net";

/** Reads of a socket that can be held back. */
export interface SocketReads {
  /** Leaves further bytes to the operating system. */
  pause(): void;
  /** Reads on. */
  resume(): void;
}

/** The handle of a socket, whose reads Node.js starts and stops. */
interface SocketHandle {
  reading?: boolean;
  readStop?(): void;
}

/**
 * Takes over the start and stop of a socket's reads.
 *
 * A stream that is paused by its own method still reads once more, up to 64 KB that nobody counts.
 *
 * @param socket the socket, which flows
 * @returns its reads, which are not paused
 *
 * @example
 * const reads = createSocketReads(socket);
 */
export function createSocketReads(socket: Socket): SocketReads {
  let isPaused = false;
  const read = Socket.prototype._read;
  socket._read = (size) => {
    if (!isPaused) read.call(socket, size);
  };
  return {
    pause() {
      if (isPaused) return;
      isPaused = true;
      const { _handle: handle } = socket as unknown as { _handle: SocketHandle | null };
      if (handle?.reading !== true || handle.readStop === undefined) return;
      handle.reading = false;
      handle.readStop();
    },
    resume() {
      if (!isPaused) return;
      isPaused = false;
      if (!socket.destroyed) read.call(socket, 0);
    },
  };
}
