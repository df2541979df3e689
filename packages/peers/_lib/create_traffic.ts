/** Counts bytes by gRPC service. */
export interface Traffic {
  sent(path: string, bytes: number): void;
  received(path: string, bytes: number): void;
  totals(): Record<string, { sentBytes: number; receivedBytes: number }>;
}

/** Creates counters of bytes by gRPC service. */
export function createTraffic(): Traffic {
  const services = new Map<string, { sentBytes: number; receivedBytes: number }>();
  const entry = (path: string) => {
    const service = path.slice("/jaypass.".length, path.lastIndexOf("/"));
    let found = services.get(service);
    if (found === undefined) services.set(service, found = { sentBytes: 0, receivedBytes: 0 });
    return found;
  };
  return {
    sent: (path, bytes) => void (entry(path).sentBytes += bytes),
    received: (path, bytes) => void (entry(path).receivedBytes += bytes),
    totals: () => Object.fromEntries([...services].map(([name, value]) => [name, { ...value }])),
  };
}
