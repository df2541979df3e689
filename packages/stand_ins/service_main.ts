import { runProgram } from "./_lib/run_program.ts";
import { createServiceStandIn } from "./create_service_stand_in.ts";

await runProgram(createServiceStandIn);
