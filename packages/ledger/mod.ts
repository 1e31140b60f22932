/** The ledger of accelerator memory, and the orders that it records. */
export { LedgerController } from "./ledger_controller.ts";
export type {
  LedgerControllerOptions,
  OrderFault,
} from "./ledger_controller.ts";
export {
  addLoad,
  addRoleChange,
  addUnload,
  findEntry,
  heldBytes,
  reconcile,
  rowFromReport,
  withdraw,
} from "./ledger_row.ts";
export type { LedgerFault, ReconcileOptions } from "./ledger_row.ts";
export { LedgerStore } from "./ledger_store.ts";
export type {
  LedgerWrite,
  LedgerWriteEnd,
  LoadSlotOptions,
} from "./ledger_store.ts";
export type {
  LedgerArtifact,
  LedgerEntry,
  LedgerRoleChange,
  LedgerRow,
  LedgerTransmission,
  VersionedLedgerRow,
} from "./ledger_types.ts";
