/** Quotas in the messages between nodes. */
import { create } from "@bufbuild/protobuf";
import * as core from "../../core/mod.ts";
import * as peers from "../../peers/mod.ts";
import type * as quotas from "../../quotas/mod.ts";

/** Converts a report for a digest. */
export function toReportMessage(
  { answer, answerAgeMs, offers }: quotas.QuotaReport,
): peers.QuotaReport {
  return create(peers.QuotaReportSchema, {
    answer,
    answerAgeMs: core.toUint32(answerAgeMs),
    offers: offers.map(({ tag, given, waiting, first, extra }) =>
      create(peers.QuotaOfferSchema, {
        limit: tag,
        given: toPairs(given),
        waiting,
        first,
        extra,
      })
    ),
  });
}

/** Reads the report in a digest. */
export function fromReportMessage(
  { answer, answerAgeMs, offers }: peers.QuotaReport,
): quotas.QuotaReport {
  return {
    answer,
    answerAgeMs,
    offers: offers.map(({ limit, given, waiting, first, extra }) => ({
      tag: limit,
      given: fromPairs(given),
      waiting,
      first,
      extra,
    })),
  };
}

/** Converts an answer for a view. */
export function toAnswerMessage(
  { answer, grants }: quotas.QuotaAnswer,
): peers.QuotaAnswer {
  return create(peers.QuotaAnswerSchema, {
    answer,
    grants: grants.map(({ tag, granted, isShort, waitMs }) =>
      create(peers.QuotaGrantSchema, {
        limit: tag,
        granted: toPairs(granted),
        isShort,
        waitMs: core.toUint32(Math.ceil(waitMs)),
      })
    ),
  });
}

/** Reads the answer in a view. */
export function fromAnswerMessage(
  { answer, grants }: peers.QuotaAnswer,
): quotas.QuotaAnswer {
  return {
    answer,
    grants: grants.map(({ limit, granted, isShort, waitMs }) => ({
      tag: limit,
      granted: fromPairs(granted),
      isShort,
      waitMs,
    })),
  };
}

function toPairs(lots: readonly quotas.SentLot[]): number[] {
  return lots.flatMap(({ amount, ageMs }) => [
    core.toUint32(amount),
    core.toUint32(ageMs),
  ]);
}

function fromPairs(numbers: readonly number[]): quotas.SentLot[] {
  const lots: quotas.SentLot[] = [];
  for (let at = 0; at + 1 < numbers.length; at += 2) {
    lots.push({ amount: numbers[at]!, ageMs: numbers[at + 1]! });
  }
  return lots;
}
