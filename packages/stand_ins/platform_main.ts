import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { createPlatformStandIn } from "./create_platform_stand_in.ts";
import type { PlatformStandInOptions } from "./platform_types.ts";

const options = JSON.parse(process.argv[2] ?? "{}") as PlatformStandInOptions;
const generator = xoroshiro128plus(options.seed ?? 1);
const standIn = await createPlatformStandIn({
  ...options,
  random: () => uniformFloat64(generator),
});
console.log(JSON.stringify({ port: standIn.port }));
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => void standIn.stop());
}
