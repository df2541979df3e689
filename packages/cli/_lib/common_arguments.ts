import { array, flag, multioption, option, string } from "cmd-ts";

/** Arguments of every command. */
export function commonArguments() {
  return {
    address: multioption({
      type: array(string),
      long: "address",
      description: "Base URL of an entry host, repeatable; JAYPASS_ADDRESS by default",
    }),
    json: flag({ long: "json", description: "Print JSON" }),
  };
}

/** Arguments of commands that change the document. */
export function changeArguments() {
  return {
    ...commonArguments(),
    why: option({ type: string, long: "why", description: "Reason for the history" }),
    wait: flag({ long: "wait", description: "Wait until every host has the change" }),
  };
}
