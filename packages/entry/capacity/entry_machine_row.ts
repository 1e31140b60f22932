/** The size of a node's machine, as its member row holds it. */
import * as purify from "purify-ts";
import type * as fleet from "../../fleet/mod.ts";

/** What the machine has; rows of earlier versions lack it. */
export const MachineRowCodec = purify.optional(purify.Codec.interface({
  processorCores: purify.optional(purify.number),
  memoryMb: purify.optional(purify.number),
  linkMbps: purify.optional(purify.number),
}));

export type MachineRow = Partial<
  NonNullable<purify.GetType<typeof MachineRowCodec>>
>;

/**
 * Returns the part of a machine's settings that other nodes need, or undefined
 * if none is known.
 *
 * @example
 * ```ts
 * const machine = toMachineRow(settings.machine);
 * ```
 */
export function toMachineRow(
  machine: fleet.MachineSpec | undefined,
): MachineRow | undefined {
  const { processorCores, memoryMb, linkMbps } = machine ?? {};
  const row = {
    ...(processorCores === undefined ? {} : { processorCores }),
    ...(memoryMb === undefined ? {} : { memoryMb }),
    ...(linkMbps === undefined ? {} : { linkMbps }),
  };
  return Object.keys(row).length > 0 ? row : undefined;
}

/**
 * Reads the size in a member row.
 *
 * @example
 * ```ts
 * const { memoryMb } = fromMachineRow(members.row(node)?.machine);
 * ```
 */
export function fromMachineRow(
  { processorCores, memoryMb, linkMbps }: MachineRow = {},
): fleet.MachineSpec {
  return {
    ...(processorCores === undefined ? {} : { processorCores }),
    ...(memoryMb === undefined ? {} : { memoryMb }),
    ...(linkMbps === undefined ? {} : { linkMbps }),
  };
}
