import { createHash } from "node:crypto";
import { HOST_STATE, type HostView } from "./types.ts";
import type { Millis } from "@jaypass/kernel";

/** What the choice needs to know of a data centre; a part of its configuration. */
export interface DataCentreDistance {
  state: "in" | "out";
  /** One-way latency to other data centres in milliseconds. */
  oneWayMs: Record<string, Millis>;
}

/** Options of {@linkcode chooseAddresses}. */
export interface ChooseAddressesOptions {
  hosts: readonly HostView[];
  /** By name; a data centre that is missing here counts as in service and farthest. */
  dataCentres: Readonly<Record<string, DataCentreDistance>>;
  /** Without one, all data centres are equally near. */
  callerDataCentre?: string;
  /** Stable name of the caller, for example its workspace and address. */
  caller: string;
  /** Most hosts to return. */
  count: number;
}

/** States from best to worst, used only when no host is alive in a data centre in service. */
const FALLBACK = [HOST_STATE.ALIVE, HOST_STATE.SUSPECT, HOST_STATE.LEAVING, HOST_STATE.DEAD];

/**
 * Chooses the hosts that a caller should use, best first.
 *
 * Only alive hosts in data centres in service are given; the nearest data centre comes first, and
 * a hash of caller and host spreads the callers. If that leaves none, the best that remain are
 * given: suspect, leaving and dead hosts, and then data centres out of service.
 *
 * @param options hosts, data centres and caller
 * @returns at most `count` hosts in the order in which they should be tried
 *
 * @example
 * const hosts = chooseAddresses({ hosts: membership.hosts(), dataCentres, caller, count: 6 });
 */
export function chooseAddresses(options: ChooseAddressesOptions): HostView[] {
  const { hosts, dataCentres, callerDataCentre, caller, count } = options;
  const isIn = (host: HostView) => dataCentres[host.dataCentre]?.state !== "out";
  const best = hosts.filter((host) => host.state === HOST_STATE.ALIVE && isIn(host));
  const isFallback = best.length === 0;

  const distance = ({ dataCentre }: HostView): number => {
    if (callerDataCentre === undefined) return 0;
    if (dataCentre === callerDataCentre) return 0;
    return dataCentres[callerDataCentre]?.oneWayMs[dataCentre] ??
      dataCentres[dataCentre]?.oneWayMs[callerDataCentre] ?? Number.MAX_VALUE;
  };
  const penalty = (host: HostView) =>
    isFallback ? FALLBACK.indexOf(host.state) + (isIn(host) ? 0 : FALLBACK.length) : 0;

  return (isFallback ? hosts : best)
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
