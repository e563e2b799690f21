package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import net.jqwik.api.Example;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.config.TableName;
import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogService;
import org.limpetgate.wire.ConfigurationCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationService} with single faults.
 */
class ConfigurationServiceTests {

	private static final Duration INTERVAL = Duration.ofMinutes(5);

	private final Cluster cluster = new Cluster(1, 3, INTERVAL);

	private int edits;

	private static String pool(String name, int slots) {
		return "{\"name\":\"" + name + "\",\"kind\":\"runners\",\"upstreams\":[{\"id\":\"" + name
				+ "-u\",\"dataCentre\":\"d\",\"address\":\"127.0.0.1\",\"port\":80,\"slots\":" + slots + "}]}";
	}

	private Edit newPool(String name) {
		return new Edit("e" + this.edits++, "ana", this.cluster.time.nowNanos(), TableName.POOLS, name, -1,
				pool(name, 8));
	}

	private void start(int... nodes) {
		for (int node : nodes) {
			this.cluster.node(node).start();
		}
		this.cluster.runFor(Duration.ofSeconds(1));
	}

	private EditResult editAndWait(int node, Edit edit) {
		CompletableFuture<EditResult> answer = this.cluster.node(node).service.edit(edit);
		this.cluster.runFor(Duration.ofSeconds(4));
		return answer.join();
	}

	private static DispatchException failure(CompletableFuture<?> answer, Cluster cluster) {
		cluster.runFor(Duration.ZERO);
		return failure(answer);
	}

	private static DispatchException failure(CompletableFuture<?> answer) {
		assertThat(answer).isCompletedExceptionally();
		return (DispatchException) answer
			.handle((value, failure) -> (failure instanceof CompletionException) ? failure.getCause() : failure)
			.join();
	}

	/**
	 * Each case is a fault of the log during an edit, with the expected answer. Guards
	 * against an edit that takes effect although it was reported as rejected.
	 */
	@Example
	void reportsActualOutcomeOfEachEdit() {
		record Case(String fault, Consumer<FakeLog.Access> cause, ErrorKind error, Outcome outcome) {
		}
		List<Case> cases = List.of(new Case("none", (access) -> {
		}, null, null), new Case("half of the appends fail", (access) -> access.lostAppendPercent = 50, null, null),
				new Case("log is unavailable", (access) -> access.outage = true, ErrorKind.EDIT_UNKNOWN,
						Outcome.UNKNOWN),
				new Case("log does not answer", (access) -> {
					access.outage = true;
					access.unansweredPercent = 100;
				}, ErrorKind.EDIT_UNKNOWN, Outcome.UNKNOWN), new Case("reads fail",
						(access) -> access.failedReadPercent = 100, ErrorKind.EDIT_UNKNOWN, Outcome.UNKNOWN));
		for (Case fault : cases) {
			Cluster singleHost = new Cluster(3, 1, INTERVAL);
			singleHost.node(0).start();
			singleHost.runFor(Duration.ofSeconds(1));
			fault.cause.accept(singleHost.node(0).access);
			CompletableFuture<EditResult> answer = singleHost.node(0).service.edit(newPool("p"));
			singleHost.runFor(Duration.ofSeconds(6));
			if (fault.error == null) {
				assertThat(answer).as(fault.fault).isCompletedWithValueMatching(EditResult::isAccepted);
			}
			else {
				assertThat(failure(answer).kind()).as(fault.fault).isEqualTo(fault.error);
				assertThat(failure(answer).outcome()).as(fault.fault).isEqualTo(fault.outcome);
				assertThat(failure(answer)).hasMessageContaining("edit 'e");
			}
		}
	}

	/**
	 * Guards against operators who overwrite each other's edits, and against an edit that
	 * is applied twice when its client repeats it.
	 */
	@Example
	void acceptsOneOfRacingEditsAndAppliesRepeatsOnce() {
		start(0, 1);
		Edit first = newPool("p");
		Edit second = newPool("p");
		CompletableFuture<EditResult> firstAnswer = this.cluster.node(0).service.edit(first);
		CompletableFuture<EditResult> repeatedAnswer = this.cluster.node(1).service.edit(first);
		CompletableFuture<EditResult> secondAnswer = this.cluster.node(1).service.edit(second);
		this.cluster.runFor(Duration.ofSeconds(4));
		assertThat(List.of(firstAnswer, secondAnswer)).filteredOn(CompletableFuture::isCompletedExceptionally)
			.hasSize(1);
		assertThat(repeatedAnswer.isCompletedExceptionally()).isEqualTo(firstAnswer.isCompletedExceptionally());
		long base = (firstAnswer.isCompletedExceptionally() ? secondAnswer : firstAnswer).join().offset();
		Edit change = new Edit("change", "ana", 0, TableName.POOLS, "p", base, pool("p", 9));
		assertThat(editAndWait(1, change).offset()).isGreaterThan(base);
		int records = this.cluster.log.records.size();
		CompletableFuture<EditResult> late = this.cluster.node(0).service.edit(second);
		this.cluster.runFor(Duration.ofSeconds(4));
		assertThat(late.isCompletedExceptionally()).isEqualTo(secondAnswer.isCompletedExceptionally());
		CompletableFuture<EditResult> invalid = this.cluster.node(0).service
			.edit(new Edit("bad", "ana", 0, TableName.POOLS, "q", -1, pool("q", 0)));
		CompletableFuture<EditResult> outdated = this.cluster.node(0).service
			.edit(new Edit("outdated", "ana", 0, TableName.POOLS, "p", base, pool("p", 7)));
		this.cluster.runFor(Duration.ofMillis(1));
		assertThat(failure(invalid).kind()).isEqualTo(ErrorKind.INVALID_EDIT);
		assertThat(failure(outdated).kind()).isEqualTo(ErrorKind.VERSION_CONFLICT);
		assertThat(this.cluster.log.records).as("rejected without an append").hasSize(records);
	}

	/**
	 * Guards against a host that serves with an empty or outdated configuration before it
	 * has a trusted one.
	 */
	@Example
	void readyOnlyWithATrustedConfiguration() {
		Cluster.Node cutOff = this.cluster.node(2);
		cutOff.access.outage = true;
		cutOff.group = 1;
		start(0, 1, 2);
		editAndWait(0, newPool("p"));
		assertThat(cutOff.service.isReady()).isFalse();
		CompletableFuture<EditResult> refused = cutOff.service.edit(newPool("x"));
		CompletableFuture<Optional<ConfigurationSnapshot>> state = cutOff.service.snapshotNewerThan(-5);
		this.cluster.runFor(Duration.ZERO);
		assertThat(failure(refused).kind()).isEqualTo(ErrorKind.NOT_READY);
		assertThat(state.join()).isEmpty();
		cutOff.group = 0;
		this.cluster.runFor(Duration.ofSeconds(4));
		assertThat(cutOff.service.isReady()).isTrue();
		assertThat(cutOff.service.configuration().version()).isZero();
		cutOff.restart();
		this.cluster.runFor(Duration.ofSeconds(4));
		assertThat(cutOff.service.configuration().pools()).hasSize(1);
	}

	/**
	 * Guards against a host that lags behind a removal and rejects the edit that adds the
	 * row again, although the table of an up-to-date host accepts it.
	 */
	@Example
	void laggingHostDoesNotRejectReaddedRow() {
		start(0, 1);
		editAndWait(0, newPool("p"));
		Cluster.Node lagging = this.cluster.node(1);
		lagging.access.failedReadPercent = 100;
		lagging.group = 1;
		editAndWait(0, new Edit("removal", "ana", 0, TableName.POOLS, "p", 0, ""));
		assertThat(lagging.service.configuration().pools()).hasSize(1);
		CompletableFuture<EditResult> answer = lagging.service.edit(newPool("p"));
		this.cluster.runFor(Duration.ofMillis(100));
		lagging.access.failedReadPercent = 0;
		this.cluster.runFor(Duration.ofSeconds(4));
		assertThat(answer).isCompletedWithValueMatching(EditResult::isAccepted);
	}

	/**
	 * Guards against an older state of a peer that replaces a newer one.
	 */
	@Example
	void olderPeerStateDoesNotReplaceNewerState() {
		start(0);
		ConfigurationService service = this.cluster.node(0).service;
		editAndWait(0, newPool("p"));
		CompletableFuture<Optional<ConfigurationSnapshot>> old = service.snapshotNewerThan(-1);
		this.cluster.runFor(Duration.ZERO);
		editAndWait(0, newPool("q"));
		service.offer(old.join().orElseThrow());
		service.offer(new ConfigurationSnapshot(-1, List.of(), List.of()));
		CompletableFuture<ConfigurationService.Status> status = service.status();
		this.cluster.runFor(Duration.ofSeconds(1));
		assertThat(status.join().refusedPeerStates()).isEqualTo(2);
		assertThat(service.configuration().pools()).hasSize(2);
	}

	/**
	 * Guards against the loss of the tables when the log trims old records, and against
	 * every host writing the same snapshot.
	 */
	@Example
	void snapshotsKeepTablesBeyondRetention() {
		start(0, 1, 2);
		editAndWait(0, newPool("p"));
		for (int minute = 0; minute < 60; minute++) {
			this.cluster.runFor(Duration.ofMinutes(1));
			this.cluster.log.trimOlderThan(Duration.ofMinutes(15));
		}
		assertThat(this.cluster.log.records).hasSizeBetween(11, 16);
		this.cluster.nodes.forEach(Cluster.Node::restart);
		this.cluster.runFor(Duration.ofSeconds(2));
		assertThat(this.cluster.nodes)
			.allSatisfy((node) -> assertThat(node.service.configuration().pools()).hasSize(1));
	}

	/**
	 * Guards against hosts that can never become ready again after all of them were down
	 * for longer than the log retains records, and against a reset while a host has the
	 * tables.
	 */
	@Example
	void resetOnlyAfterTheTablesAreLost() {
		start(0);
		editAndWait(0, newPool("p"));
		Configuration tables = this.cluster.node(0).service.configuration();
		CompletableFuture<EditResult> early = this.cluster.node(0).service.reset("early", tables);
		this.cluster.runFor(Duration.ofSeconds(1));
		assertThat(failure(early).kind()).isEqualTo(ErrorKind.INVALID_EDIT);
		this.cluster.node(0).service.close();
		this.cluster.log.trimTo(this.cluster.log.records.size());
		start(0, 1, 2);
		this.cluster.runFor(Duration.ofSeconds(20));
		assertThat(failure(this.cluster.node(1).service.edit(newPool("q")), this.cluster).kind())
			.isEqualTo(ErrorKind.NOT_READY);
		this.cluster.runFor(ConfigurationService.RESET_AFTER);
		CompletableFuture<EditResult> reset = this.cluster.node(1).service.reset("reset", tables);
		this.cluster.runFor(Duration.ofSeconds(4));
		assertThat(reset).isCompletedWithValueMatching(EditResult::isAccepted);
		assertThat(this.cluster.nodes)
			.allSatisfy((node) -> assertThat(node.service.configuration().pools()).hasSize(1));
		assertThat(editAndWait(2, newPool("q")).isAccepted()).isTrue();
	}

	/**
	 * Guards against reads in a tight loop from a log that answers immediately without
	 * records, such as a replica that lags behind the end offset reported by another one.
	 */
	@Example
	void readsLaggingReplicaAtBoundedRate() {
		VirtualTime time = new VirtualTime();
		AtomicInteger reads = new AtomicInteger();
		LogService lagging = new LogService() {

			@Override
			public CompletableFuture<Long> append(String stream, List<byte[]> records) {
				return new CompletableFuture<>();
			}

			@Override
			public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords, Duration maxWait) {
				reads.incrementAndGet();
				return CompletableFuture.completedFuture(new LogBatch(List.of(), 0, 5));
			}

		};
		ConfigurationService service = new ConfigurationService(HostId.of("h"), lagging, PeerConfigurations.NONE, time,
				time, new Random(1), INTERVAL);
		service.start();
		time.runFor(Duration.ofSeconds(10));
		assertThat(reads.get()).isBetween(50, 110);
		assertThat(service.isReady()).isFalse();
	}

	/**
	 * Guards against edits applied to a state that lacks trimmed records, when neither a
	 * snapshot nor a peer covers them.
	 */
	@Example
	void trimmedGapWaitsForAPeer() {
		start(0);
		editAndWait(0, newPool("p"));
		this.cluster.log.trimTo(1);
		Cluster.Node late = this.cluster.node(1);
		late.group = 1;
		late.start();
		this.cluster.log.store(ConfigurationCodec.encode(newPool("q")));
		this.cluster.runFor(Duration.ofMillis(500));
		assertThat(late.service.isReady()).isFalse();
		late.group = 0;
		this.cluster.runFor(Duration.ofSeconds(2));
		assertThat(late.service.configuration().pools()).hasSize(2);
	}

}
