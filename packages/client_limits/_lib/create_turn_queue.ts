import type { Clock, Millis } from "@jaypass/kernel";
import { MAX_DIRECT_MS, MIN_TURN_COST_MS, REQUEST_TURN_MS } from "../constants.ts";
import { chooseTurn } from "./choose_turn.ts";

/** What a turn has done. */
export interface TurnResult {
  /** True if the member needs a further turn. */
  isUnfinished: boolean;
  /** Requests whose heads ended in the turn. */
  requests: number;
}

/** Work of one connection. */
export interface TurnMember {
  /** Address of the client. */
  address: string;
  /** True while the member waits for a turn; written by the queue. */
  isWaiting: boolean;
  /** Does a part of the work that is limited in time. */
  run(): TurnResult;
}

/** Gives turns of the event loop to connections. */
export interface TurnQueue {
  /** Runs a turn of a member at once if no other one waits, or when the turn of its address has come. */
  offer(member: TurnMember): void;
}

/** The waiting members of one address. */
interface AddressTurns {
  members: TurnMember[];
  /** Virtual time at which its next turn starts. */
  startMs: Millis;
}

/**
 * Creates the queue of turns, in which each client address gets an equal part of the processor time,
 * however many connections it has.
 *
 * The order is that of start-time fair queuing (Goyal, Vin and Cheng, 1996), with addresses as flows
 * and processor time as the cost. One turn runs between two polls of the event loop, so that others are
 * read and answered meanwhile.
 *
 * @param clock monotonic time source
 * @returns the queue, which is empty
 *
 * @example
 * turns.offer(member);
 */
export function createTurnQueue(clock: Pick<Clock, "nowMs">): TurnQueue {
  const waiting = new Map<string, AddressTurns>();
  /** Virtual time at which the last turn of an address ends, for those served since nobody waited. */
  const endsMs = new Map<string, Millis>();
  let virtualMs: Millis = 0;
  let directMs: Millis = 0;
  let isScheduled = false;
  let running:
    | { member: TurnMember; startMs: Millis; sinceMs: Millis; result: TurnResult }
    | undefined;

  const findStartMs = (address: string) => Math.max(virtualMs, endsMs.get(address) ?? 0);
  const charge = (
    { address }: TurnMember,
    { startMs, sinceMs, requests }: { startMs: Millis; sinceMs: Millis; requests: number },
  ): Millis => {
    const tookMs = Math.max(clock.nowMs() - sinceMs, MIN_TURN_COST_MS);
    endsMs.set(address, startMs + tookMs + requests * REQUEST_TURN_MS);
    return tookMs;
  };
  const enqueue = (member: TurnMember) => {
    member.isWaiting = true;
    const { address } = member;
    const turns = waiting.get(address);
    if (turns === undefined) {
      waiting.set(address, { members: [member], startMs: findStartMs(address) });
    } else turns.members.push(member);
    schedule();
  };
  const runNext = () => {
    const next = chooseTurn(waiting);
    const member = next?.[1].members.shift();
    if (next === undefined || member === undefined) return;
    const { startMs } = next[1];
    virtualMs = startMs;
    member.isWaiting = false;
    const sinceMs = clock.nowMs();
    running = { member, startMs, sinceMs, result: member.run() };
  };
  const endTurn = () => {
    isScheduled = false;
    directMs = 0;
    if (running !== undefined) {
      const { member, startMs, sinceMs, result } = running;
      running = undefined;
      charge(member, { startMs, sinceMs, requests: result.requests });
      const { address } = member;
      const turns = waiting.get(address);
      waiting.delete(address);
      if (turns !== undefined && turns.members.length > 0) {
        waiting.set(address, { members: turns.members, startMs: findStartMs(address) });
      }
      if (result.isUnfinished && !member.isWaiting) enqueue(member);
    }
    if (waiting.size > 0) return schedule();
    endsMs.clear();
    virtualMs = 0;
  };
  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    if (waiting.size > 0) setImmediate(runNext);
    // What the handlers of requests go on with runs before this callback, and counts as well.
    setImmediate(endTurn);
  };

  return {
    offer(member) {
      if (member.isWaiting) return;
      if (waiting.size > 0 || directMs >= MAX_DIRECT_MS) return enqueue(member);
      const sinceMs = clock.nowMs();
      const startMs = findStartMs(member.address);
      const { isUnfinished, requests } = member.run();
      directMs += charge(member, { startMs, sinceMs, requests });
      if (isUnfinished && !member.isWaiting) enqueue(member);
      else schedule();
    },
  };
}
