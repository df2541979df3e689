import {
  COLLECTION_SHARE,
  CONNECTION_COST_BYTES,
  MAX_ADDRESS_MEMORY_SHARE,
  MIN_COLLECTION_BYTES,
  SMALL_HOLDER_BYTES,
} from "./constants.ts";
import { chooseLargestHolder } from "./_lib/choose_largest_holder.ts";
import type { HeldMemory } from "./_lib/choose_largest_holder.ts";

/** A budget of memory, from which buffered bytes are reserved. */
export interface MemoryBudget {
  /** Reserves memory; returns false if the budget does not allow it. */
  tryReserve(bytes: number): boolean;
  /** Releases reserved memory. */
  release(bytes: number): void;
  /**
   * Sets what gives up memory of a body that is being read, for a budget that asks for it; undefined
   * when nothing can be given up any more.
   */
  setGiveUp?(giveUp: (() => void) | undefined): void;
}

/** The part of the memory account that belongs to one connection. */
export interface MemoryHolder extends MemoryBudget {
  /** Counts bytes that are held already; releases the largest holders if the limit is exceeded. */
  charge(bytes: number): void;
  /** Marks bytes as part of a request that a server has; a negative number takes the mark back. */
  pin(bytes: number): void;
  /** Sets what gives up the memory of a part of a request, in place of closing the connection. */
  setGiveUp(giveUp: (() => void) | undefined): void;
  /** Bytes that the account of the host has left for all connections. */
  freeBytes(): number;
  /** Releases everything; later calls have no effect. */
  close(): void;
}

/** The record of the memory that a host holds for connections of callers. */
export interface MemoryAccount {
  /** Opens the part of a connection from an address; `release` closes the connection. */
  open(release: () => void, address?: string): MemoryHolder;
  /** Counts bytes that were read and dropped without having been held. */
  drop(bytes: number): void;
  /** Bytes held for all connections. */
  heldBytes(): number;
}

interface HolderRecord extends HeldMemory {
  address: string;
  group: HolderGroup;
  giveUp: (() => void) | undefined;
  release: () => void;
  isClosed: boolean;
}

/** The connections of one address. */
interface HolderGroup extends HeldMemory {
  holders: Set<HolderRecord>;
}

/**
 * Creates the memory account of a host.
 *
 * Memory that was released stays with the process until it is collected, so that it counts as well. It
 * is collected before a holder is released for its sake.
 *
 * The address that holds most gives up first, and of its connections the largest: many connections with
 * a little each would otherwise displace a caller with one large request.
 *
 * @param limitBytes bytes above which the largest holders are released
 * @param reclaim collects the memory that was dropped; gets the bytes that are held
 * @returns the account, which is empty
 *
 * @example
 * const account = createMemoryAccount(45 * 1024 * 1024);
 * const holder = account.open(() => socket.destroy(), socket.remoteAddress);
 */
export function createMemoryAccount(
  limitBytes: number,
  reclaim: (heldBytes: number) => void = () => {},
): MemoryAccount {
  const groups = new Map<string, HolderGroup>();
  const collectionBytes = Math.max(MIN_COLLECTION_BYTES, limitBytes * COLLECTION_SHARE);
  let heldBytes = 0;
  let droppedBytes = 0;

  const collect = () => {
    droppedBytes = 0;
    reclaim(heldBytes);
  };
  const drop = (bytes: number) => {
    droppedBytes += bytes;
    if (droppedBytes >= collectionBytes) collect();
  };
  const add = (holder: HolderRecord, bytes: number) => {
    holder.bytes += bytes;
    holder.group.bytes += bytes;
    heldBytes += bytes;
  };
  const pin = (holder: HolderRecord, bytes: number) => {
    holder.pinnedBytes += bytes;
    holder.group.pinnedBytes += bytes;
  };
  const close = (holder: HolderRecord) => {
    if (holder.isClosed) return;
    const { address, bytes, pinnedBytes, group } = holder;
    add(holder, -bytes);
    pin(holder, -pinnedBytes);
    holder.isClosed = true;
    group.holders.delete(holder);
    if (group.holders.size === 0) groups.delete(address);
    drop(bytes);
  };
  const giveUp = (holder: HolderRecord) => {
    const before = holder.bytes;
    holder.giveUp?.();
    if (holder.bytes < before) return;
    close(holder);
    holder.release();
  };
  /** Chooses what is released so that `bytes` more fit for a holder, or for those that hold already. */
  const chooseReleased = (
    holder: HolderRecord | undefined,
    bytes: number,
  ): HolderRecord | undefined => {
    const group = chooseLargestHolder(groups.values(), 0);
    if (group === undefined) return undefined;
    const own = holder?.group;
    const isOther = own === undefined ||
      (group !== own && group.bytes - group.pinnedBytes > own.bytes - own.pinnedBytes + bytes);
    // A connection is not released for the sake of a larger one of the same address.
    const ownBytes = isOther || holder === undefined
      ? 0
      : holder.bytes - holder.pinnedBytes + bytes;
    const isGroupOver = isOther &&
      group.bytes - group.pinnedBytes > limitBytes * MAX_ADDRESS_MEMORY_SHARE;
    const minBytes = isGroupOver ? 0 : SMALL_HOLDER_BYTES;
    const candidates = isOther ? group.holders : own.holders;
    return chooseLargestHolder(candidates, Math.max(ownBytes, minBytes));
  };
  /** Collects and releases memory until `bytes` more fit; returns false if none is left to release. */
  const makeRoom = (holder: HolderRecord | undefined, bytes: number): boolean => {
    while (true) {
      const isCollectable = droppedBytes >= MIN_COLLECTION_BYTES;
      if (heldBytes + bytes + (isCollectable ? droppedBytes : 0) <= limitBytes) return true;
      if (isCollectable) {
        collect();
        continue;
      }
      const released = chooseReleased(holder, bytes);
      if (released === undefined) return false;
      giveUp(released);
    }
  };

  return {
    open(release, address = "") {
      let group = groups.get(address);
      if (group === undefined) {
        group = { bytes: 0, pinnedBytes: 0, holders: new Set() };
        groups.set(address, group);
      }
      const holder: HolderRecord = {
        address,
        bytes: 0,
        pinnedBytes: 0,
        group,
        giveUp: undefined,
        release,
        isClosed: false,
      };
      group.holders.add(holder);
      add(holder, CONNECTION_COST_BYTES);
      pin(holder, CONNECTION_COST_BYTES);
      return {
        tryReserve(bytes) {
          if (holder.isClosed || !makeRoom(holder, bytes)) return false;
          add(holder, bytes);
          return true;
        },
        charge(bytes) {
          if (holder.isClosed) return;
          add(holder, bytes);
          makeRoom(undefined, 0);
        },
        release(bytes) {
          if (holder.isClosed) return;
          add(holder, -bytes);
          drop(bytes);
        },
        pin(bytes) {
          if (!holder.isClosed) pin(holder, bytes);
        },
        setGiveUp: (giveUp) => void (holder.giveUp = giveUp),
        freeBytes: () => Math.max(0, limitBytes - heldBytes),
        close: () => close(holder),
      };
    },
    drop,
    heldBytes: () => heldBytes,
  };
}
