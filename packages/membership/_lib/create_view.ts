import { compareRecords, type HostRecord } from "./host_record.ts";
import { createHash } from "node:crypto";
import { HOST_STATE, type HostState } from "../types.ts";
import type { Clock, Millis } from "@jaypass/kernel";

/** Bytes of an id's hash in a summary, and of its state's hash after it. */
const ID_BYTES = 6;
const STATE_BYTES = 4;

/** A record with what this process knows about it. */
export interface Entry {
  record: HostRecord;
  /** Log version of the last change. */
  changedAt: number;
  /** Host that told the last change, which need not be told. */
  learnedFrom: string | undefined;
  /** Monotonic time of the last message from the host itself. */
  lastHeardMs: Millis;
  /** Monotonic time of the last change of state. */
  sinceMs: Millis;
  /** Hash of the id in hex, and of incarnation, number and state. */
  idHash: string;
  stateHash: number;
}

/** Options of {@linkcode createView}. */
export interface ViewOptions {
  clock: Clock;
  /** Returns the next number of the log that orders all changes of this process. */
  nextVersion: () => number;
  /** Called after each change. */
  onChange: (record: HostRecord, previous: HostState | undefined) => void;
}

/** The records of all known hosts, the own one included. */
export interface View {
  entries(): Iterable<Entry>;
  get(id: string): Entry | undefined;
  size(): number;
  /** Grows when a host joins the ring or drops out of it. */
  ringVersion(): number;
  /** Takes a record that is newer than the known one; reports which of both is newer. */
  apply(record: HostRecord, learnedFrom: string | undefined): "applied" | "same" | "older";
  remove(id: string): void;
  /** Hashes of all records. */
  summary(): Uint8Array;
  /** Records that the summary's owner lacks or has otherwise, and hashes of ids to ask for. */
  compare(summary: Uint8Array): { hosts: HostRecord[]; wants: Uint8Array };
  /** Records of the ids whose hashes are given. */
  recordsByHash(wants: Uint8Array): HostRecord[];
  /** One number over all hosts that are not dead. */
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
      idHash: known?.idHash ?? sha256(record.id).subarray(0, ID_BYTES).toString("hex"),
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
        // A tombstone is not taken over, so that its lifetime cannot be renewed from host to host.
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
      const bytes = Buffer.alloc(entries.size * (ID_BYTES + STATE_BYTES));
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
      for (let at = 0; at + ID_BYTES + STATE_BYTES <= bytes.length; at += ID_BYTES + STATE_BYTES) {
        const idHash = bytes.toString("hex", at, at + ID_BYTES);
        theirs.set(idHash, bytes.readUInt32BE(at + ID_BYTES));
      }
      const isOther = ({ idHash, stateHash }: Entry) => theirs.get(idHash) !== stateHash;
      const wants = [...theirs].filter(([idHash, stateHash]) =>
        byIdHash.get(idHash)?.stateHash !== stateHash
      );
      return {
        hosts: [...entries.values()].filter(isOther).map(({ record }) => record),
        wants: Buffer.from(wants.map(([idHash]) => idHash).join(""), "hex"),
      };
    },

    recordsByHash(wants) {
      const text = Buffer.from(wants.buffer, wants.byteOffset, wants.byteLength).toString("hex");
      const hashes = text.match(new RegExp(`.{${2 * ID_BYTES}}`, "g")) ?? [];
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
