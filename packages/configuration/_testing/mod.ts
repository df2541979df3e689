/**
 * Test hosts, fakes and example documents for tests of this and other packages.
 *
 * @module
 */

export * from "./create_test_administration.ts";
export * from "./create_test_hosts.ts";
export * from "./example_document.ts";
