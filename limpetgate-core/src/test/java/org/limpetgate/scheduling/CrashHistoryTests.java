package org.limpetgate.scheduling;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.UpstreamId;
import org.limpetgate.scheduling.CrashHistory.Evidence;
import org.limpetgate.scheduling.CrashHistory.Loss;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CrashHistory}.
 */
class CrashHistoryTests {

	private static final UpstreamId WORKER = UpstreamId.of("w1");

	private static final UpstreamId OTHER_WORKER = UpstreamId.of("w2");

	private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("10.0.0.1", 1);

	private static final InetSocketAddress OTHER_ADDRESS = InetSocketAddress.createUnresolved("10.0.0.2", 1);

	private static final long LOST_NANOS = TimeUnit.DAYS.toNanos(21_000);

	/** Guards against tasks of silent workers that count as those of crashed ones. */
	@Example
	void lossIsResolvedByAReportOfTheSameIncarnation() {
		CrashHistory history = CrashHistory.NONE.withLoss(loss(WORKER, 5));
		assertThat(history.isSuspect()).isTrue();
		assertThat(history.withReport(OTHER_WORKER, 5)).isSameAs(history);
		assertThat(history.withReport(WORKER, 6)).isSameAs(history);
		assertThat(history.withReport(WORKER, 5)).isEqualTo(CrashHistory.NONE);
	}

	@Example
	void lossIsACrashOnceTheWorkerHasALaterIncarnation() {
		CrashHistory history = CrashHistory.NONE.withLoss(new Loss(WORKER, ADDRESS, 5, Evidence.ALONE, LOST_NANOS));
		assertThat(history.withIncarnation(info(WORKER, ADDRESS, 5))).isSameAs(history);
		assertThat(history.withIncarnation(info(WORKER, ADDRESS, 4))).isSameAs(history);
		assertThat(history.withIncarnation(info(OTHER_WORKER, OTHER_ADDRESS, 6))).isSameAs(history);
		assertThat(history.withIncarnation(info(WORKER, OTHER_ADDRESS, 6)))
			.isEqualTo(CrashHistory.NONE.withCrash(Evidence.ALONE));
	}

	/** Guards against a crashed worker that is not recognised under its next id. */
	@Example
	void lossIsACrashOnceALaterWorkerHasItsAddress() {
		CrashHistory history = CrashHistory.NONE.withLoss(loss(WORKER, 5));
		assertThat(history.withIncarnation(info(OTHER_WORKER, ADDRESS, 5))).isSameAs(history);
		assertThat(history.withIncarnation(info(OTHER_WORKER, ADDRESS, 6)))
			.isEqualTo(CrashHistory.NONE.withCrash(Evidence.SHARED));
	}

	/** Guards against two losses on one worker of which only one is resolved. */
	@Example
	void everyLossOfAnEarlierIncarnationIsACrash() {
		CrashHistory history = CrashHistory.NONE.withLoss(loss(WORKER, 5)).withLoss(loss(WORKER, 6));
		CrashHistory resolved = history.withIncarnation(info(WORKER, ADDRESS, 7));
		assertThat(resolved.crashes()).isEqualTo(2);
		assertThat(resolved.losses()).isEmpty();
	}

	/** Guards against a worker that never comes back and counts as crashed. */
	@Example
	void lossIsForgottenAfterItsRetention() {
		CrashHistory history = CrashHistory.NONE.withLoss(loss(WORKER, 5));
		assertThat(history.withoutExpired(LOST_NANOS + CrashHistory.RETENTION_NANOS - 1)).isSameAs(history);
		assertThat(history.withoutExpired(LOST_NANOS + CrashHistory.RETENTION_NANOS)).isEqualTo(CrashHistory.NONE);
	}

	/** Guards against a hold without an end after a scheduler whose clock was ahead. */
	@Example
	void lossesOfTheFutureCountAsPresent() {
		CrashHistory history = CrashHistory.NONE.withLoss(loss(WORKER, 5));
		assertThat(history.withLossesUntil(LOST_NANOS)).isEqualTo(history);
		assertThat(history.withLossesUntil(LOST_NANOS - 7).losses()).extracting(Loss::lostNanos)
			.containsExactly(LOST_NANOS - 7);
	}

	/** Guards against a job that stands still since a worker does not come back. */
	@Example
	void unresolvedLossHoldsTheTaskBackForABoundedTime() {
		CrashHistory one = CrashHistory.NONE.withLoss(loss(WORKER, 5));
		assertThat(one.isHeldBack(LOST_NANOS)).isFalse();
		CrashHistory two = one.withLoss(loss(OTHER_WORKER, 5));
		assertThat(two.mustRunAlone()).isFalse();
		assertThat(two.isHeldBack(LOST_NANOS + CrashHistory.HOLD_NANOS - 1)).isTrue();
		assertThat(two.isHeldBack(LOST_NANOS + CrashHistory.HOLD_NANOS)).isFalse();
		assertThat(one.withCrash(Evidence.SHARED).isHeldBack(LOST_NANOS)).isTrue();
		assertThat(CrashHistory.NONE.withCrash(Evidence.SHARED).withCrash(Evidence.SHARED).isHeldBack(LOST_NANOS))
			.isFalse();
	}

	/**
	 * Guards against an innocent task that is given up for the crashes of another one.
	 */
	@Example
	void twoCrashesProveNothingUnlessTheTaskRanAlone() {
		CrashHistory one = CrashHistory.NONE.withCrash(Evidence.ALONE);
		assertThat(one.isDeadly(true)).isFalse();
		assertThat(one.withCrash(Evidence.SHARED).isDeadly(true)).isTrue();
		CrashHistory shared = CrashHistory.NONE.withCrash(Evidence.SHARED).withCrash(Evidence.SHARED);
		assertThat(shared.isDeadly(true)).isFalse();
		assertThat(shared.mustRunAlone()).isTrue();
		assertThat(shared.withCrash(Evidence.ALONE).isDeadly(true)).isTrue();
	}

	@Example
	void threeCrashesAreEnoughInAnyCase() {
		assertThat(CrashHistory.NONE.withCrash(Evidence.SHARED)
			.withCrash(Evidence.SHARED)
			.withCrash(Evidence.SHARED)
			.isDeadly(true)).isTrue();
	}

	private static WorkerInfo info(UpstreamId id, InetSocketAddress address, long incarnationMillis) {
		return new WorkerInfo(id, incarnationMillis, "service", address, DataCentreId.of("dc"), FakeWorker.CAPACITY,
				Set.of("a"), false);
	}

	/** Guards against jobs that fail because of orders that no worker has confirmed. */
	@Example
	void unconfirmedCrashesAreNoEvidenceThatTheTaskRanAlone() {
		CrashHistory history = CrashHistory.NONE.withCrash(Evidence.SHARED).withCrash(Evidence.UNCONFIRMED);
		assertThat(history.mustRunAlone()).isTrue();
		assertThat(history.isDeadly(true)).isFalse();
		assertThat(history.withCrash(Evidence.UNCONFIRMED).isDeadly(false)).isFalse();
	}

	/** Guards against tasks that crash their workers before they answer, without end. */
	@Example
	void unconfirmedCrashesAreLimited() {
		CrashHistory two = CrashHistory.NONE.withCrash(Evidence.UNCONFIRMED).withCrash(Evidence.UNCONFIRMED);
		assertThat(two.isDeadly(true)).isFalse();
		CrashHistory three = two.withCrash(Evidence.UNCONFIRMED);
		assertThat(three.isDeadly(true)).isTrue();
		assertThat(three.isDeadly(false)).isFalse();
		assertThat(three.withCrash(Evidence.UNCONFIRMED).isDeadly(false)).isTrue();
	}

	private static Loss loss(UpstreamId worker, long incarnationMillis) {
		return new Loss(worker, ADDRESS, incarnationMillis, Evidence.SHARED, LOST_NANOS);
	}

}
