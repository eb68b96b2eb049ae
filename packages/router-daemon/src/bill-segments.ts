import type * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'

/** Bills moved out of a journal, for the operators' billing. Unchanged once the journal has moved on to the next number. */
export interface BillSegment {
  bills: decisions.journalTypes.Bill[]
}

/**
 * Writes a segment. Its number is used for these bills only, so an existing segment is from an earlier try;
 * bills added since then are appended. Throws PlatformUnavailable.
 */
export async function writeSegment (client: platform.platformClient.PlatformClient, incarnation: string, number: number, bills: decisions.journalTypes.Bill[]): Promise<void> {
  if (bills.length === 0) return
  await platform.conditionalUpdate.updateObject<BillSegment, undefined>(
    client,
    platform.objectKeys.segmentKey(incarnation, number),
    (present) => present !== undefined && present.bills.length >= bills.length
      ? { kind: 'keep', result: undefined }
      : { kind: 'write', value: { bills }, result: undefined }
  )
}
