package org.limpetgate.fleet;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link OverloadDetector}.
 */
class OverloadDetectorTests {

	private static final long MILLI = 1_000_000;

	private final OverloadDetector detector = new OverloadDetector();

	private long nowNanos;

	private void tickLate(int times, long latenessMillis) {
		for (int i = 0; i < times; i++) {
			this.detector.tickScheduled(this.nowNanos);
			this.nowNanos += latenessMillis * MILLI;
			this.detector.tickStarted(this.nowNanos);
		}
	}

	/** Guards against a scheduler that moves because of one late tick. */
	@Example
	void singleLateTickIsNoOverload() {
		tickLate(1, 1000);
		assertThat(this.detector.isOverloaded()).isFalse();
	}

	/** Guards against an overloaded host that goes on scheduling for others. */
	@Example
	void lastingLatenessIsAnOverload() {
		tickLate(100, 70);
		assertThat(this.detector.isOverloaded()).isTrue();
	}

	/** Guards against a scheduler that moves back and forth. */
	@Example
	void overloadLastsUntilTheLatenessIsMuchLower() {
		tickLate(100, 70);
		tickLate(200, 40);
		assertThat(this.detector.isOverloaded()).isTrue();
		tickLate(200, 10);
		assertThat(this.detector.isOverloaded()).isFalse();
	}

}
