import { compareRecords, type HostRecord } from "./host_record.ts";
import { createHash } from "node:crypto";
import { HOST_STATE, type HostState } from "../types.ts";
import type { Clock, Millis } from "@jaypass/kernel";

/** Bytes of the hash of a host id in a summary. */
const ID_HASH_BYTES = 6;

/** Bytes of the hash of a host state, which follows the hash of its id in a summary. */
const STATE_HASH_BYTES = 4;

/** A host record with local bookkeeping. */
export interface Entry {
  record: HostRecord;
  /** Version of the own change log at the last change. */
  changedAt: number;
  /** Host that sent the last change and so need not be sent it; undefined for an own change. */
  learnedFrom: string | undefined;
  /** Monotonic time of the last message from the host itself. */
  lastHeardMs: Millis;
  /** Monotonic time of the last change of state. */
  sinceMs: Millis;
  /** Hash of the id in hex. */
  idHash: string;
  /** Hash of incarnation, sequence number and state. */
  stateHash: number;
}

/** Options of {@linkcode createView}. */
export interface ViewOptions {
  clock: Clock;
  /** Returns the next version of the change log, which orders all changes seen by this process. */
  nextVersion: () => number;
  /** Called after each change. */
  onChange: (record: HostRecord, previous: HostState | undefined) => void;
}

/** The records of all known hosts, this one included. */
export interface View {
  entries(): Iterable<Entry>;
  get(id: string): Entry | undefined;
  size(): number;
  /** Grows when a host joins or leaves the ring; all hosts that are not dead are in the ring. */
  ringVersion(): number;
  /**
   * Stores a record that is newer than the known one; returns `older` if the known one is newer.
   */
  apply(record: HostRecord, learnedFrom: string | undefined): "applied" | "same" | "older";
  remove(id: string): void;
  /** Hashes of all ids and states, for a comparison with another view. */
  summary(): Uint8Array;
  /** Records that the other view lacks or has in another state, and hashes of ids to ask it for. */
  compare(summary: Uint8Array): { hosts: HostRecord[]; wants: Uint8Array };
  /** Records of the hosts whose id hashes are given. */
  recordsByHash(wants: Uint8Array): HostRecord[];
  /** Checksum over all hosts that are not dead. */
  checksum(): number;
}

const sha256 = (text: string) => createHash("sha256").update(text).digest();

/** Creates an empty view. */
export function createView(options: ViewOptions): View {
  const { clock, nextVersion, onChange } = options;
  const entries = new Map<string, Entry>();
  const byIdHash = new Map<string, Entry>();
  let ringVersion = 0;
  const isInRing = (state: HostState | undefined) =>
    state !== undefined && state !== HOST_STATE.DEAD;

  const stateHashOf = ({ incarnation, seq, state }: HostRecord) =>
    sha256(`${incarnation}\n${seq}\n${state}`).readUInt32BE(0);

  const put = (record: HostRecord, learnedFrom: string | undefined) => {
    const nowMs = clock.nowMs();
    const known = entries.get(record.id);
    const previous = known?.record.state;
    const entry: Entry = {
      record,
      changedAt: nextVersion(),
      learnedFrom,
      lastHeardMs: known?.lastHeardMs ?? -Infinity,
      sinceMs: known && previous === record.state ? known.sinceMs : nowMs,
      idHash: known?.idHash ?? sha256(record.id).subarray(0, ID_HASH_BYTES).toString("hex"),
      stateHash: stateHashOf(record),
    };
    entries.set(record.id, entry);
    byIdHash.set(entry.idHash, entry);
    if (isInRing(previous) !== isInRing(record.state)) ringVersion++;
    onChange(record, previous);
  };

  return {
    entries: () => entries.values(),
    get: (id) => entries.get(id),
    size: () => entries.size,
    ringVersion: () => ringVersion,

    apply(record, learnedFrom) {
      const known = entries.get(record.id);
      if (known === undefined) {
        // A dead record of an unknown host is ignored: otherwise hosts could pass a tombstone to
        // each other after each had dropped it, and it would never expire.
        if (record.state === HOST_STATE.DEAD) return "same";
        put(record, learnedFrom);
        return "applied";
      }
      const order = compareRecords(record, known.record);
      if (order > 0) put(record, learnedFrom);
      return order > 0 ? "applied" : order < 0 ? "older" : "same";
    },

    remove(id) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entries.delete(id);
      byIdHash.delete(entry.idHash);
    },

    summary() {
      const bytes = Buffer.alloc(entries.size * (ID_HASH_BYTES + STATE_HASH_BYTES));
      let at = 0;
      for (const { idHash, stateHash } of entries.values()) {
        at += bytes.write(idHash, at, "hex");
        at = bytes.writeUInt32BE(stateHash, at);
      }
      return bytes;
    },

    compare(summary) {
      const bytes = Buffer.from(summary.buffer, summary.byteOffset, summary.byteLength);
      const theirs = new Map<string, number>();
      for (
        let at = 0;
        at + ID_HASH_BYTES + STATE_HASH_BYTES <= bytes.length;
        at += ID_HASH_BYTES + STATE_HASH_BYTES
      ) {
        const idHash = bytes.toString("hex", at, at + ID_HASH_BYTES);
        theirs.set(idHash, bytes.readUInt32BE(at + ID_HASH_BYTES));
      }
      const isDifferent = ({ idHash, stateHash }: Entry) => theirs.get(idHash) !== stateHash;
      const wants = [...theirs].filter(([idHash, stateHash]) =>
        byIdHash.get(idHash)?.stateHash !== stateHash
      );
      return {
        hosts: [...entries.values()].filter(isDifferent).map(({ record }) => record),
        wants: Buffer.from(wants.map(([idHash]) => idHash).join(""), "hex"),
      };
    },

    recordsByHash(wants) {
      const text = Buffer.from(wants.buffer, wants.byteOffset, wants.byteLength).toString("hex");
      const hashes = text.match(new RegExp(`.{${2 * ID_HASH_BYTES}}`, "g")) ?? [];
      return hashes.flatMap((idHash) => byIdHash.get(idHash)?.record ?? []);
    },

    checksum() {
      let sum = 0;
      for (const { idHash, stateHash, record } of entries.values()) {
        if (record.state !== HOST_STATE.DEAD) {
          sum ^= stateHash ^ Number.parseInt(idHash.slice(0, 8), 16);
        }
      }
      return sum >>> 0;
    },
  };
}
