/** A complete event of a stream. */
export interface StreamEvent {
  /** Bytes of the event, including the blank line that ends it. */
  bytes: Buffer;
  /** Id of the event; undefined if it has none or it is not a whole number. */
  id: number | undefined;
}

/** Splits a byte stream into events. */
export interface EventSplitter {
  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of the incomplete event at the end. */
  rest(): Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Creates a splitter of server-sent events. A blank line completes an event; lines end with LF or
 * CRLF.
 *
 * @returns a splitter without any bytes
 *
 * @example
 * const splitter = createEventSplitter();
 * for (const event of splitter.push(chunk)) res.write(event.bytes);
 */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  let scannedTo = 0;
  /** Block that `pending` is the beginning of, with room behind it. */
  let block: Buffer | undefined;

  /** Adds a chunk in constant time for each byte, however many chunks an event has. */
  const append = (chunk: Buffer) => {
    const length = pending.length + chunk.length;
    if (block === undefined || block.length < length) {
      block = Buffer.allocUnsafe(2 * length);
      pending.copy(block);
    }
    chunk.copy(block, pending.length);
    pending = block.subarray(0, length);
  };

  return {
    push(chunk) {
      if (pending.length === 0) pending = chunk;
      else append(chunk);
      const events: StreamEvent[] = [];
      let start = 0;
      for (let at = scannedTo; at < pending.length; at++) {
        if (pending[at] !== LINE_FEED || !isBlankLineEnd(pending, start, at)) continue;
        const bytes = pending.subarray(start, at + 1);
        events.push({ bytes, id: parseEventId(bytes) });
        start = at + 1;
      }
      // The bytes of the events are in the block, which must not be written any more.
      if (start > 0) block = undefined;
      pending = pending.subarray(start);
      scannedTo = pending.length;
      return events;
    },
    rest: () => pending,
  };
}

/** Reports whether the line feed at index `at` ends a blank line. */
function isBlankLineEnd(bytes: Buffer, start: number, at: number): boolean {
  let before = at - 1;
  if (before >= start && bytes[before] === CARRIAGE_RETURN) before -= 1;
  return before >= start && bytes[before] === LINE_FEED;
}

function parseEventId(bytes: Buffer): number | undefined {
  const match = /(?:^|\n)id: ?(\d+)\r?\n/.exec(bytes.toString("latin1"));
  return match?.[1] === undefined ? undefined : Number(match[1]);
}
