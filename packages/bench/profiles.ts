/** Fleet and load of a user of jaypass. Times are modelled times, before the time scale is applied. */
export interface Profile {
  name: string;
  region: string;
  dataCentres: string[];
  /** One-way latency between data centres in milliseconds. */
  oneWayMs: number;
  engines: number;
  serviceServers: number;
  service: string;
  model: string;
  hosts: number;
  /** Share of the requests that each workspace sends; a few workspaces send most of them. */
  workspaceShares: number[];
  ratePerSecond: number;
  memoryTokens: number;
  prefillTokensPerSecond: number;
  msPerOutputToken: number;
  bytesPerToken: number;
  coldLimit: number;
  warmLimit: number;
  coldMs: number;
  timeZone: string;
}

const COMMON = {
  hosts: 18,
  workspaceShares: [0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05],
  memoryTokens: 1_200_000,
  prefillTokensPerSecond: 20_000,
  msPerOutputToken: 20,
  bytesPerToken: 4,
  coldLimit: 4,
  warmLimit: 32,
  coldMs: 10_000,
};

/** Profiles of the two users, by name. */
export const PROFILES = {
  nachtwacht: {
    ...COMMON,
    name: "nachtwacht",
    region: "be-centraal",
    dataCentres: ["gent", "brussel", "leuven"],
    oneWayMs: 0.5,
    engines: 14,
    serviceServers: 3,
    service: "booking",
    model: "guide",
    ratePerSecond: 9,
    timeZone: "Europe/Brussels",
  },
  vigie: {
    ...COMMON,
    name: "vigie",
    region: "qc-east",
    dataCentres: ["qc-east-a", "qc-east-b", "qc-east-c"],
    oneWayMs: 1.5,
    engines: 21,
    serviceServers: 3,
    service: "dispatch",
    model: "notes",
    ratePerSecond: 13,
    timeZone: "America/Toronto",
  },
} as const satisfies Record<string, Profile>;
