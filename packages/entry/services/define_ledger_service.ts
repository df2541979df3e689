import { createCallLedger } from "@jaypass/idempotency";
import type { AskHost, CallOwner } from "@jaypass/idempotency";
import type { AnyServiceDefinition } from "@jaypass/kernel";
import { HOST_STATE } from "@jaypass/membership";
import type { Membership } from "@jaypass/membership";
import type { PeerPool } from "@jaypass/peers";
import { CALL_STATUS_METHOD } from "../peer_methods.ts";
import type { ProcessContext } from "../process_context.ts";
import { SERVICE } from "../service_names.ts";

/** Timeout of the call to the owner of an attempt. */
const STATUS_TIMEOUT_MS = 1_000;

/**
 * Defines the call ledger, which records the calls that may run at most once.
 *
 * @param context settings, clock, log and metrics of the process
 * @returns a definition for the kernel
 */
export function defineLedgerService(context: ProcessContext): AnyServiceDefinition {
  return {
    name: SERVICE.LEDGER,
    needs: [
      SERVICE.TABLES,
      SERVICE.OBJECTS,
      SERVICE.PEER_POOL,
      SERVICE.PEER_SERVER,
      SERVICE.MEMBERSHIP,
    ],
    start: (lookup) => {
      const { host, peerListen } = context.settings;
      const ledger = createCallLedger({
        ...context,
        table: lookup(SERVICE.TABLES),
        objects: lookup(SERVICE.OBJECTS),
        self: { host, incarnation: context.incarnation, address: peerListen },
        askHost: createAskHost(lookup(SERVICE.PEER_POOL)),
        isHostGone: createHostGoneCheck(lookup(SERVICE.MEMBERSHIP)),
      });
      lookup(SERVICE.PEER_SERVER).handle(
        CALL_STATUS_METHOD,
        (query) => Promise.resolve({ answer: ledger.answerStatus(query) }),
      );
      return { service: ledger, stop: () => ledger.stop() };
    },
  };
}

/**
 * Creates the check whether the process that owns an attempt is gone, according to membership.
 *
 * A wrong result is safe: the call is reported with an unknown outcome and is not run again.
 */
function createHostGoneCheck(membership: Membership): (owner: CallOwner) => boolean {
  return (owner) => {
    const host = membership.find(owner.host);
    if (host === undefined) return false;
    return host.state === HOST_STATE.DEAD || host.incarnation > owner.incarnation;
  };
}

function createAskHost(peers: PeerPool): AskHost {
  return async (query, signal) => {
    try {
      const options = { timeoutMs: STATUS_TIMEOUT_MS, signal };
      return (await peers.call(query.owner.address, CALL_STATUS_METHOD, query, options)).answer;
    } catch {
      return "unreachable";
    }
  };
}
