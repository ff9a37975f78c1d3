import { describe, expect, it } from 'vitest'
import { StepTimeModel } from '../../src/admission/StepTimeModel.js'

function doTest (samples: ReadonlyArray<readonly [number, number]>, limitMs: number): number {
  const model = StepTimeModel.create()
  for (const [sequences, stepMs] of samples) model.observeStep(sequences, stepMs)
  return model.estimateMaxSequences(limitMs)
}

const LINE = [10, 20, 30, 40, 15, 25, 35].map(sequences => [sequences, 18 + 0.35 * sequences] as const)

describe('StepTimeModel', () => {
  it('sets no limit without samples', () => expect(doTest([], 43)).toBe(Infinity))
  it('estimates the largest batch whose step fits', () => expect(doTest(LINE, 39)).toBe(59))
  it('ignores steps that included prefill', () => expect(doTest([...LINE, [20, 60]], 39)).toBe(59))
  it('estimates 0 when the step of an empty batch is too long', () => expect(doTest(LINE.map(([sequences, stepMs]) => [sequences, stepMs * 3]), 39)).toBe(0))
  it('uses the ratio of base and slope of the prior for samples of a single batch size', () => expect(doTest([[25, 27], [25, 27]], 36)).toBe(50))
})
