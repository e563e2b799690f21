package org.limpetgate.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.platform.HttpLogService;
import org.limpetgate.net.platform.PlatformClientSettings;
import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract tests for {@link LogService}, run against the network client and the stand-in.
 */
class LogServiceContractTests {

	private static final String STREAM = "claims-dc/a:1";

	/** For cases that end with a timeout; long enough for the request to arrive. */
	private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration LONG_WAIT = Duration.ofSeconds(20);

	private static final List<FaultCase> FAULT_CASES = List.of(new FaultCase("none", PlatformFaults.NONE, null, 1),
			new FaultCase("log down", PlatformFaults.NONE.withLogDown(true), Outcome.UNKNOWN, 0),
			new FaultCase("log hangs", PlatformFaults.NONE.withLogHangs(true), Outcome.UNKNOWN, 0),
			new FaultCase("response lost", PlatformFaults.NONE.withLostAppendAnswers(1), Outcome.UNKNOWN, 1),
			new FaultCase("response late", PlatformFaults.NONE.withLogDelayMillis(60_000), Outcome.UNKNOWN, 1),
			new FaultCase("stale reads", PlatformFaults.NONE.withStaleReads(true), null, 1));

	private final EventLoopGroup group = StandIns.newEventLoops(2);

	private PlatformStandIn platform = PlatformStandIn.start(this.group, LogLimits.DEFAULT);

	@AfterTry
	void close() {
		this.platform.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	/**
	 * Guards against an append that is reported as not stored although it was, which
	 * would let a host release a claim that it holds.
	 */
	@Example
	void outcomeOfAnAppendIsCorrectUnderEachFault() {
		for (FaultCase faultCase : FAULT_CASES) {
			String stream = "faults-" + faultCase.name;
			LogService log = client(LONG_WAIT);
			this.platform.setFaults(faultCase.faults);
			DispatchException error = Futures
				.error(client(timesOut(faultCase.faults) ? SHORT_TIMEOUT : LONG_WAIT).append(stream, payloads("a")));
			this.platform.setFaults(PlatformFaults.NONE);
			assertThat((error != null) ? error.outcome() : null).as(faultCase.name).isEqualTo(faultCase.outcome);
			assertThat((error != null) ? error.kind() : ErrorKind.LOG_UNAVAILABLE).as(faultCase.name)
				.isEqualTo(ErrorKind.LOG_UNAVAILABLE);
			assertThat(read(log, stream, 0)).as(faultCase.name).hasSize(faultCase.stored);
		}
	}

	/**
	 * Guards against a truncated or missing response that is read as an empty stream.
	 */
	@Example
	void readFailsUnderEachFault() {
		LogService log = client(LONG_WAIT);
		Futures.get(log.append(STREAM, payloads("a", "b")));
		for (PlatformFaults faults : List.of(PlatformFaults.NONE.withLogDown(true),
				PlatformFaults.NONE.withLogHangs(true), PlatformFaults.NONE.withTruncatedReads(true),
				PlatformFaults.NONE.withLogDelayMillis(60_000))) {
			this.platform.setFaults(faults);
			LogService reader = client(timesOut(faults) ? SHORT_TIMEOUT : LONG_WAIT);
			assertThat(Futures.error(reader.read(STREAM, 0, 10, Duration.ZERO))).as(faults.toString())
				.extracting(DispatchException::kind)
				.isEqualTo(ErrorKind.LOG_UNAVAILABLE);
		}
		this.platform.setFaults(PlatformFaults.NONE);
		assertThat(read(log, STREAM, 0)).containsExactly("a", "b");
	}

	/**
	 * Guards against lost or reordered records when several are appended in one request.
	 */
	@Example
	void recordsOfAnAppendHaveConsecutiveOffsets() {
		LogService log = client(LONG_WAIT);
		assertThat(Futures.get(log.append(STREAM, payloads("a", "", "c")))).isZero();
		assertThat(Futures.get(log.append(STREAM, payloads("d")))).isEqualTo(3);
		assertThat(read(log, STREAM, 0)).containsExactly("a", "", "c", "d");
		assertThat(read(log, STREAM, 2)).containsExactly("c", "d");
		LogBatch bounded = Futures.get(log.read(STREAM, 1, 2, Duration.ZERO));
		assertThat(bounded.records()).extracting((record) -> record.offset()).containsExactly(1L, 2L);
		assertThat(bounded.endOffset()).isEqualTo(4);
	}

	/**
	 * Guards against a long poll that misses the record it waits for.
	 */
	@Example
	void waitingReadCompletesOnAppend() {
		LogService log = client(LONG_WAIT);
		CompletableFuture<LogBatch> waiting = log.read(STREAM, 0, 10, LONG_WAIT);
		Futures.get(log.append(STREAM, payloads("a")));
		assertThat(Futures.get(waiting).records()).hasSize(1);
		assertThat(Futures.get(log.read(STREAM, 1, 10, Duration.ofMillis(1))).records()).isEmpty();
	}

	/**
	 * Guards against a gap left by trimming that is read as an empty stream.
	 */
	@Example
	void trimmedGapIsReported() {
		LogService log = client(LONG_WAIT);
		Futures.get(log.append(STREAM, payloads("a", "b", "c")));
		this.platform.trim(STREAM, 2);
		LogBatch batch = Futures.get(log.read(STREAM, 0, 10, LONG_WAIT));
		assertThat(batch.firstRetainedOffset()).isEqualTo(2);
		assertThat(batch.records()).extracting((record) -> record.offset()).containsExactly(2L);
		this.platform.trim(STREAM, 3);
		assertThat(Futures.get(log.read(STREAM, 2, 10, LONG_WAIT)).firstRetainedOffset()).isEqualTo(3);
	}

	/**
	 * Guards against appends that cannot have been stored but are reported as unknown.
	 */
	@Example
	void refusedAndUnsentAppendsAreNotRun() {
		this.platform.close();
		this.platform = PlatformStandIn.start(this.group, LogLimits.DEFAULT.withAppendsPerSecond(1));
		LogService log = client(LONG_WAIT);
		Futures.get(log.append(STREAM, payloads("a")));
		DispatchException refused = Futures.error(log.append(STREAM, payloads("b")));
		assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(refused.retryAfterNanos()).isPositive();
		assertThat(read(log, STREAM, 0)).containsExactly("a");
		LogService unreachable = client(LONG_WAIT);
		this.platform.close();
		assertThat(Futures.error(unreachable.append(STREAM, payloads("c"))).outcome()).isEqualTo(Outcome.NOT_RUN);
		close();
		assertThat(Futures.error(unreachable.append(STREAM, payloads("c"))).outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	/**
	 * Guards against unbounded connections and responses.
	 */
	@Example
	void clientLimitsAreEnforced() {
		LogService limited = client(PlatformClientSettings.DEFAULT.withMaxConnections(1).withMaxResponseBytes(100));
		CompletableFuture<LogBatch> waiting = limited.read("empty", 0, 1, LONG_WAIT);
		assertThat(Futures.error(limited.append("empty", payloads("a"))).outcome()).isEqualTo(Outcome.NOT_RUN);
		waiting.cancel(false);
		LogService log = client(LONG_WAIT);
		Futures.get(log.append(STREAM, List.of(new byte[200])));
		LogService small = client(PlatformClientSettings.DEFAULT.withMaxResponseBytes(100));
		assertThat(Futures.error(small.read(STREAM, 0, 1, Duration.ZERO)).outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	private static boolean timesOut(PlatformFaults faults) {
		return faults.logHangs() || faults.logDelayMillis() > 0;
	}

	private LogService client(Duration timeout) {
		return client(PlatformClientSettings.DEFAULT.withRequestTimeout(timeout));
	}

	private LogService client(PlatformClientSettings settings) {
		return HttpLogService.of(this.group, this.platform.address(), settings);
	}

	private static List<String> read(LogService log, String stream, long from) {
		return Futures.get(log.read(stream, from, 100, Duration.ZERO))
			.records()
			.stream()
			.map((record) -> new String(record.payload(), StandardCharsets.UTF_8))
			.toList();
	}

	private static List<byte[]> payloads(String... payloads) {
		return List.of(payloads).stream().map((payload) -> payload.getBytes(StandardCharsets.UTF_8)).toList();
	}

	/**
	 * A fault and its expected effects.
	 *
	 * @param name the name
	 * @param faults the faults during the append
	 * @param outcome the outcome of the append, null for success
	 * @param stored the number of records stored at the end
	 */
	private record FaultCase(String name, PlatformFaults faults, Outcome outcome, int stored) {
	}

}
