import test from "ava";
import { computeHostLimits } from "./compute_host_limits.ts";

test("limits follow from the machine, and are off where it states nothing", (t) => {
  const small = computeHostLimits({ memoryMb: 202, maxDescriptors: 2_870 });
  t.is(small.connections, 1_335);
  t.is(small.addressConnections, 1_002);
  t.true((small.heldBytes ?? 0) > 40e6 && (small.heldBytes ?? 0) < 50e6);
  const none = { heldBytes: undefined, connections: undefined, addressConnections: undefined };
  t.deepEqual(computeHostLimits({ memoryMb: undefined, maxDescriptors: undefined }), none);
  t.is(computeHostLimits({ memoryMb: undefined, maxDescriptors: 100 }).connections, 64);
  t.true(computeHostLimits({ memoryMb: 20, maxDescriptors: undefined }).heldBytes! > 16e6);
});
