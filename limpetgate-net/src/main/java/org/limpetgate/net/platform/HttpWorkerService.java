package org.limpetgate.net.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.UpstreamId;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.platform.LeaseId;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerService;
import org.limpetgate.platform.WorkerTask;
import org.limpetgate.platform.WorkerUsage;

/**
 * Client of the platform's workers.
 * <p>
 * Each request is sent once. The paths contain the id of the worker, so the address may
 * be the worker's own or one at which the platform serves several workers. Thread-safe.
 */
public final class HttpWorkerService implements WorkerService, AutoCloseable {

	private static final byte[] EMPTY = {};

	private final PlatformClient http;

	private final Function<UpstreamId, InetSocketAddress> addresses;

	private HttpWorkerService(PlatformClient http, Function<UpstreamId, InetSocketAddress> addresses) {
		this.http = http;
		this.addresses = addresses;
	}

	/**
	 * Returns a client. Connections are opened when they are needed.
	 * @param group the event loops, which stay open when the client is closed, not null
	 * @param addresses resolves the address of a worker, null if it is unknown;
	 * thread-safe
	 * @param settings the limits; each running task whose end is awaited occupies a
	 * connection; not null
	 * @return the client, not null
	 */
	public static HttpWorkerService of(EventLoopGroup group, Function<UpstreamId, InetSocketAddress> addresses,
			PlatformClientSettings settings) {
		return new HttpWorkerService(new PlatformClient(group, settings, ErrorKind.PLATFORM_UNAVAILABLE), addresses);
	}

	@Override
	public CompletableFuture<LeaseStatus> run(LeaseId leaseId, UpstreamId workerId, WorkerTask task,
			Duration leaseDuration, Duration maxWait) {
		String target = path(workerId, leaseId) + "?leaseMillis=" + millis(leaseDuration) + "&waitMillis="
				+ maxWait.toMillis() + "&cores=" + task.resources().cores() + "&memoryMb=" + task.resources().memoryMb()
				+ "&accelerators=" + task.resources().accelerators() + "&deadlineNanos=" + task.deadlineNanos()
				+ "&resumeFrom=" + PlatformReplies.encode(task.checkpoint());
		return send(workerId, "POST", target, task.body(), maxWait, WorkerCodec::decodeStatus);
	}

	@Override
	public CompletableFuture<LeaseStatus> renew(LeaseId leaseId, UpstreamId workerId, Duration leaseDuration) {
		String target = path(workerId, leaseId) + "/renew?leaseMillis=" + millis(leaseDuration);
		return send(workerId, "POST", target, EMPTY, Duration.ZERO, WorkerCodec::decodeStatus);
	}

	@Override
	public CompletableFuture<LeaseStatus> stop(LeaseId leaseId, UpstreamId workerId) {
		return send(workerId, "DELETE", path(workerId, leaseId), EMPTY, Duration.ZERO, WorkerCodec::decodeStatus);
	}

	@Override
	public CompletableFuture<LeaseStatus> status(LeaseId leaseId, UpstreamId workerId, Duration maxWait) {
		String target = path(workerId, leaseId) + "?waitMillis=" + maxWait.toMillis();
		return send(workerId, "GET", target, EMPTY, maxWait, WorkerCodec::decodeStatus);
	}

	@Override
	public CompletableFuture<LeaseStatus> throttle(LeaseId leaseId, UpstreamId workerId, double share) {
		if (!(share > 0 && share <= 1)) {
			throw new IllegalArgumentException("share must be above 0 and at most 1, not " + share);
		}
		String target = path(workerId, leaseId) + "/throttle?share=" + share;
		return send(workerId, "POST", target, EMPTY, Duration.ZERO, WorkerCodec::decodeStatus);
	}

	@Override
	public CompletableFuture<String> checkpoint(LeaseId leaseId, UpstreamId workerId) {
		String target = path(workerId, leaseId) + "/checkpoint";
		return send(workerId, "POST", target, EMPTY, Duration.ZERO, (reply) -> {
			JsonNode name = PlatformReplies.JSON.readTree(reply.body()).path("checkpoint");
			if (!name.isTextual() || name.asText().isEmpty()) {
				throw new IllegalArgumentException("the response names no checkpoint");
			}
			return name.asText();
		});
	}

	@Override
	public CompletableFuture<WorkerUsage> usage(UpstreamId workerId) {
		return send(workerId, "GET", path(workerId) + "/usage", EMPTY, Duration.ZERO,
				(reply) -> WorkerCodec.decodeUsage(reply.body()));
	}

	private <T> CompletableFuture<T> send(UpstreamId workerId, String method, String target, byte[] body, Duration wait,
			PlatformReplies.ReplyReader<T> reader) {
		InetSocketAddress address = this.addresses.apply(workerId);
		if (address == null) {
			return CompletableFuture.failedFuture(DispatchException.of(ErrorKind.NO_UPSTREAM, Outcome.NOT_RUN,
					"the address of worker " + workerId + " is not known"));
		}
		return this.http.send(address, new HttpCall(method, target, Map.of(), body), wait, reader);
	}

	private static long millis(Duration leaseDuration) {
		long millis = leaseDuration.toMillis();
		if (millis < 1) {
			throw new IllegalArgumentException("leaseDuration must be at least 1 ms, not " + leaseDuration);
		}
		return millis;
	}

	private static String path(UpstreamId workerId) {
		return "/v1/workers/" + PlatformReplies.encode(workerId.value());
	}

	private static String path(UpstreamId workerId, LeaseId leaseId) {
		return path(workerId) + "/leases/" + PlatformReplies.encode(leaseId.toString());
	}

	@Override
	public void close() {
		this.http.close();
	}

}
