import {
  ADDRESS_READ_INTERVAL_MS,
  ADMITTED_READS,
  MAX_ADDRESS_UNREAD_SHARE,
  MIN_ADDRESS_UNREAD_BYTES,
} from "../constants.ts";

/** A connection whose unread bytes are counted with those of its address. */
export interface AddressReader {
  /** Address of the client. */
  address: string;
  /** Reports whether further bytes would be parsed, since none waits and no whole request is open. */
  isReady(): boolean;
  /** Starts or stops the reads of the connection by what is allowed now. */
  updateFlow(): void;
}

/** The unread bytes of each client address. */
export interface AddressReads {
  /** Registers a connection. */
  add(reader: AddressReader): void;
  /** Forgets a connection, whose bytes were counted back. */
  remove(reader: AddressReader): void;
  /** Counts bytes that were read or, if negative, parsed. */
  count(reader: AddressReader, bytes: number): void;
  /** Reports whether a connection may be read. */
  mayRead(reader: AddressReader): boolean;
}

/** The connections of one address. */
interface AddressRecord {
  /** In the order in which they are admitted next. */
  readers: Set<AddressReader>;
  unreadBytes: number;
  /** Connections that are read although the bound is reached; undefined below the bound. */
  admitted: Set<AddressReader> | undefined;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Creates the bound on the unread bytes of each client address.
 *
 * Answers the load of many connections that all send at once: one read of each would fill the memory
 * for callers. The connections of the address are read on once half of its bytes have been parsed. Until
 * then a few of them at a time are read whose bytes would be parsed, since the others may wait for long
 * behind open requests while a proper client has the same address.
 *
 * @param heldBytes bytes that the process may hold for its clients
 * @param onPause called when an address has reached the bound
 * @returns the bound
 *
 * @example
 * const addressReads = createAddressReads(45 * 1024 * 1024, () => count("address_unread"));
 */
export function createAddressReads(heldBytes: number, onPause: () => void): AddressReads {
  const limitBytes = Math.max(MIN_ADDRESS_UNREAD_BYTES, heldBytes * MAX_ADDRESS_UNREAD_SHARE);
  const records = new Map<string, AddressRecord>();

  const admitNext = (record: AddressRecord) => {
    const before = record.admitted ?? [];
    const next = new Set<AddressReader>();
    for (const reader of record.readers) {
      if (next.size === ADMITTED_READS) break;
      if (reader.isReady()) next.add(reader);
    }
    record.admitted = next;
    for (const reader of before) reader.updateFlow();
    for (const reader of next) {
      record.readers.delete(reader);
      record.readers.add(reader);
      reader.updateFlow();
    }
  };
  const pause = (record: AddressRecord) => {
    record.admitted = new Set();
    record.timer = setInterval(() => admitNext(record), ADDRESS_READ_INTERVAL_MS).unref();
    for (const reader of record.readers) reader.updateFlow();
  };
  const resume = (record: AddressRecord) => {
    clearInterval(record.timer);
    record.admitted = undefined;
    for (const reader of record.readers) reader.updateFlow();
  };

  return {
    add(reader) {
      const { address } = reader;
      const record = records.get(address) ??
        { readers: new Set(), unreadBytes: 0, admitted: undefined, timer: undefined };
      records.set(address, record);
      record.readers.add(reader);
    },
    remove(reader) {
      const record = records.get(reader.address);
      if (record === undefined) return;
      record.readers.delete(reader);
      record.admitted?.delete(reader);
      if (record.readers.size > 0) return;
      clearInterval(record.timer);
      records.delete(reader.address);
    },
    count({ address }, bytes) {
      const record = records.get(address);
      if (record === undefined) return;
      record.unreadBytes += bytes;
      if (record.admitted === undefined && record.unreadBytes > limitBytes) {
        onPause();
        pause(record);
      } else if (record.admitted !== undefined && record.unreadBytes <= limitBytes / 2) {
        resume(record);
      }
    },
    mayRead(reader) {
      const admitted = records.get(reader.address)?.admitted;
      return admitted === undefined || (admitted.has(reader) && reader.isReady());
    },
  };
}
