import { HOST_STATE, type HostView } from "../types.ts";

/** A host as sent in heartbeats. */
export interface HostRecord extends HostView {
  /**
   * Sequence number that only the host itself raises, to refute a record or to change its state.
   */
  seq: number;
}

/** Order of the states under the same sequence number; a later one overrides an earlier one. */
const STATE_RANK = {
  [HOST_STATE.ALIVE]: 0,
  [HOST_STATE.LEAVING]: 1,
  [HOST_STATE.SUSPECT]: 2,
  [HOST_STATE.DEAD]: 3,
} as const;

/**
 * Compares two records of a host by incarnation, then sequence number, then rank of the state.
 *
 * @returns a number above 0 when `a` is newer than `b`
 */
export function compareRecords(a: HostRecord, b: HostRecord): number {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation ? 1 : -1;
  return a.seq - b.seq || STATE_RANK[a.state] - STATE_RANK[b.state];
}

/** Returns a record without its sequence number, as other packages see it. */
export function toView(record: HostRecord): HostView {
  const { seq: _seq, ...view } = record;
  return view;
}
