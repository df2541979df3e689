import { createHash } from "node:crypto";
import { HOST_STATE, type HostView } from "./types.ts";
import type { Millis } from "@jaypass/kernel";

/** The part of the configuration of a data centre that the choice needs. */
export interface DataCentreDistance {
  state: "in" | "out";
  /** One-way latency to other data centres in milliseconds. */
  oneWayMs: Record<string, Millis>;
}

/** Options of {@linkcode chooseAddresses}. */
export interface ChooseAddressesOptions {
  hosts: readonly HostView[];
  /** Data centres by name; one that is missing here counts as in service and as the farthest. */
  dataCentres: Readonly<Record<string, DataCentreDistance>>;
  /** Data centre of the caller; without it, all data centres are equally near. */
  callerDataCentre?: string;
  /** Stable name of the caller, for example its workspace and address. */
  caller: string;
  /** Largest number of hosts to return. */
  count: number;
}

/** States from best to worst, for the case that no host is alive in a data centre in service. */
const FALLBACK_STATES = [HOST_STATE.ALIVE, HOST_STATE.SUSPECT, HOST_STATE.LEAVING, HOST_STATE.DEAD];

/**
 * Chooses the hosts that a caller should use, best first.
 *
 * Only alive hosts in data centres in service are returned; the nearest data centre comes first,
 * and a hash of caller and host spreads the callers over its hosts. If there is no such host, all
 * hosts are returned: those in service first, by state (alive, suspect, leaving, dead), then those
 * in data centres out of service.
 *
 * @param options hosts, data centres and caller
 * @returns at most `count` hosts in the order in which they should be tried
 *
 * @example
 * const hosts = chooseAddresses({ hosts: membership.hosts(), dataCentres, caller, count: 6 });
 */
export function chooseAddresses(options: ChooseAddressesOptions): HostView[] {
  const { hosts, dataCentres, callerDataCentre, caller, count } = options;
  const isInService = (host: HostView) => dataCentres[host.dataCentre]?.state !== "out";
  const preferred = hosts.filter((host) => host.state === HOST_STATE.ALIVE && isInService(host));
  const isFallback = preferred.length === 0;

  const distance = ({ dataCentre }: HostView): number => {
    if (callerDataCentre === undefined) return 0;
    if (dataCentre === callerDataCentre) return 0;
    return dataCentres[callerDataCentre]?.oneWayMs[dataCentre] ??
      dataCentres[dataCentre]?.oneWayMs[callerDataCentre] ?? Number.MAX_VALUE;
  };
  const penalty = (host: HostView) =>
    isFallback
      ? FALLBACK_STATES.indexOf(host.state) + (isInService(host) ? 0 : FALLBACK_STATES.length)
      : 0;

  return (isFallback ? hosts : preferred)
    .map((host) => ({
      host,
      penalty: penalty(host),
      distance: distance(host),
      spread: createHash("sha256").update(`${caller}\n${host.id}`).digest("hex"),
    }))
    .sort((a, b) =>
      a.penalty - b.penalty || a.distance - b.distance || (a.spread < b.spread ? -1 : 1)
    )
    .slice(0, count)
    .map(({ host }) => host);
}
