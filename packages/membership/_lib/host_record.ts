import { HOST_STATE, type HostView } from "../types.ts";

/** A host as heartbeats carry it. */
export interface HostRecord extends HostView {
  /** Raised by the host itself to refute an opinion or to change its state. */
  seq: number;
}

const RANK = {
  [HOST_STATE.ALIVE]: 0,
  [HOST_STATE.LEAVING]: 1,
  [HOST_STATE.SUSPECT]: 2,
  [HOST_STATE.DEAD]: 3,
} as const;

/** Above 0 when `a` is newer than `b`: by incarnation, then by number, then the worse state. */
export function compareRecords(a: HostRecord, b: HostRecord): number {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation ? 1 : -1;
  return a.seq - b.seq || RANK[a.state] - RANK[b.state];
}

/** Returns the part of a record that other packages see. */
export function toView(record: HostRecord): HostView {
  const { seq: _seq, ...view } = record;
  return view;
}
