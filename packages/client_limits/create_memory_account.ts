import { CONNECTION_COST_BYTES, SMALL_HOLDER_BYTES } from "./constants.ts";
import { chooseLargestHolder } from "./_lib/choose_largest_holder.ts";
import type { HeldMemory } from "./_lib/choose_largest_holder.ts";

/** A budget of memory, from which buffered bytes are reserved. */
export interface MemoryBudget {
  /** Reserves memory; returns false if the budget does not allow it. */
  tryReserve(bytes: number): boolean;
  /** Releases reserved memory. */
  release(bytes: number): void;
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
  /** Opens the part of a connection; `release` closes the connection. */
  open(release: () => void): MemoryHolder;
  /** Bytes held for all connections. */
  heldBytes(): number;
}

interface HolderRecord extends HeldMemory {
  giveUp: (() => void) | undefined;
  release: () => void;
  isClosed: boolean;
}

/**
 * Creates the memory account of a host.
 *
 * @param limitBytes bytes above which the largest holders are released
 * @returns the account, which is empty
 *
 * @example
 * const account = createMemoryAccount(45 * 1024 * 1024);
 * const holder = account.open(() => socket.destroy());
 */
export function createMemoryAccount(limitBytes: number): MemoryAccount {
  const holders = new Set<HolderRecord>();
  let heldBytes = 0;

  const close = (holder: HolderRecord) => {
    if (holder.isClosed) return;
    holder.isClosed = true;
    holders.delete(holder);
    heldBytes -= holder.bytes;
  };
  const giveUp = (holder: HolderRecord) => {
    const before = holder.bytes;
    holder.giveUp?.();
    if (holder.bytes < before) return;
    close(holder);
    holder.release();
  };
  /** Releases larger holders than one of `ownBytes` until `bytes` more fit; returns false if none is left. */
  const makeRoom = (bytes: number, ownBytes: number): boolean => {
    while (heldBytes + bytes > limitBytes) {
      const largest = chooseLargestHolder(holders, Math.max(ownBytes, SMALL_HOLDER_BYTES));
      if (largest === undefined) return false;
      giveUp(largest);
    }
    return true;
  };

  return {
    open(release) {
      const holder: HolderRecord = {
        bytes: CONNECTION_COST_BYTES,
        pinnedBytes: CONNECTION_COST_BYTES,
        giveUp: undefined,
        release,
        isClosed: false,
      };
      holders.add(holder);
      heldBytes += CONNECTION_COST_BYTES;
      const add = (bytes: number) => {
        if (holder.isClosed) return;
        holder.bytes += bytes;
        heldBytes += bytes;
      };
      return {
        tryReserve(bytes) {
          if (holder.isClosed) return false;
          if (!makeRoom(bytes, holder.bytes - holder.pinnedBytes + bytes)) return false;
          add(bytes);
          return true;
        },
        charge(bytes) {
          add(bytes);
          makeRoom(0, 0);
        },
        release: (bytes) => add(-bytes),
        pin: (bytes) => void (holder.pinnedBytes += bytes),
        setGiveUp: (giveUp) => void (holder.giveUp = giveUp),
        freeBytes: () => Math.max(0, limitBytes - heldBytes),
        close: () => close(holder),
      };
    },
    heldBytes: () => heldBytes,
  };
}
