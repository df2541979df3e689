import { MAX_ADDRESS_UNREAD_SHARE, MIN_ADDRESS_UNREAD_BYTES } from "../constants.ts";

/** A connection whose unread bytes are counted with those of its address. */
export interface AddressReader {
  /** Address of the client. */
  address: string;
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
  /** Reports whether the address of a connection may have more bytes unread. */
  mayRead(reader: AddressReader): boolean;
}

/** The connections of one address. */
interface AddressRecord {
  readers: Set<AddressReader>;
  unreadBytes: number;
  isPaused: boolean;
}

/**
 * Creates the bound on the unread bytes of each client address.
 *
 * Answers the load of many connections that all send at once: one read of each would fill the memory
 * for callers. The connections of the address are read on once half of its bytes have been parsed.
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

  const setPaused = (record: AddressRecord, isPaused: boolean) => {
    record.isPaused = isPaused;
    for (const reader of record.readers) reader.updateFlow();
  };

  return {
    add(reader) {
      const { address } = reader;
      const record = records.get(address) ??
        { readers: new Set(), unreadBytes: 0, isPaused: false };
      records.set(address, record);
      record.readers.add(reader);
    },
    remove(reader) {
      const record = records.get(reader.address);
      record?.readers.delete(reader);
      if (record?.readers.size === 0) records.delete(reader.address);
    },
    count({ address }, bytes) {
      const record = records.get(address);
      if (record === undefined) return;
      record.unreadBytes += bytes;
      if (!record.isPaused && record.unreadBytes > limitBytes) {
        onPause();
        setPaused(record, true);
      } else if (record.isPaused && record.unreadBytes <= limitBytes / 2) {
        setPaused(record, false);
      }
    },
    mayRead: ({ address }) => records.get(address)?.isPaused !== true,
  };
}
