import type { MemoryAccount, MemoryHolder } from "../create_memory_account.ts";

/** The memory of one connection, whose heads are counted in the heap as well. */
export interface ConnectionMemory extends MemoryHolder {
  /** Reserves memory of a head; returns false if one of the accounts does not allow it. */
  tryReserveHead(bytes: number): boolean;
  /** Counts memory of a head that is held already. */
  chargeHead(bytes: number): void;
  /** Releases memory of a head. */
  releaseHead(bytes: number): void;
  /** Marks memory of a head as part of a request that a server has; a negative number takes it back. */
  pinHead(bytes: number): void;
}

/**
 * Opens the memory of a connection in the account of the process and in that of its heads.
 *
 * @param accounts both accounts
 * @param options address of the client, and what closes the connection
 * @returns the memory
 */
export function openConnectionMemory(
  { account, headAccount }: { account: MemoryAccount; headAccount: MemoryAccount },
  { address, release }: { address: string; release: () => void },
): ConnectionMemory {
  const holder = account.open(release, address);
  const heads = headAccount.open(release, address);
  return {
    ...holder,
    tryReserveHead(bytes) {
      if (!heads.tryReserve(bytes)) return false;
      if (holder.tryReserve(bytes)) return true;
      heads.release(bytes);
      return false;
    },
    chargeHead(bytes) {
      heads.charge(bytes);
      holder.charge(bytes);
    },
    releaseHead(bytes) {
      heads.release(bytes);
      holder.release(bytes);
    },
    pinHead(bytes) {
      heads.pin(bytes);
      holder.pin(bytes);
    },
    close() {
      heads.close();
      holder.close();
    },
  };
}
