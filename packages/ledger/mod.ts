/** Ledger of accelerator memory, and the orders that are recorded in it. */
export { LedgerController } from "./ledger_controller.ts";
export type {
  LedgerControllerOptions,
  OrderError,
} from "./ledger_controller.ts";
export {
  addLoad,
  addRoleChange,
  addUnload,
  findEntry,
  reconcile,
  removeUnsent,
  reservedBytes,
  rowFromReport,
} from "./ledger_row.ts";
export type { LedgerRowError, ReconcileOptions } from "./ledger_row.ts";
export { LedgerStore } from "./ledger_store.ts";
export type {
  LedgerWrite,
  LedgerWriteResult,
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
