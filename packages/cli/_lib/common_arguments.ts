import { array, flag, multioption, option, string } from "cmd-ts";

/** Creates the arguments that all commands have. */
export function commonArguments() {
  return {
    address: multioption({
      type: array(string),
      long: "address",
      description: "Base URL of an entry host, repeatable; defaults to JAYPASS_ADDRESS",
    }),
    json: flag({ long: "json", description: "Print JSON" }),
  };
}

/** Creates the arguments of commands that change the configuration document. */
export function changeArguments() {
  return {
    ...commonArguments(),
    why: option({ type: string, long: "why", description: "Reason to record in the history" }),
    wait: flag({ long: "wait", description: "Wait until all hosts have applied the change" }),
  };
}
