package org.limpetgate.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.scheduling.FleetLink.LinkEnd;
import org.limpetgate.scheduling.FleetMessage.Frame;
import org.limpetgate.scheduling.FleetMessage.Hello;
import org.limpetgate.scheduling.FleetMessage.Refusal;
import org.limpetgate.scheduling.FleetNetwork.Impairment;

/**
 * The link of a host of {@link FleetSimulation} to one peer, which reconnects after each
 * loss. It carries the requests of the host and the replies of the peer. Follows
 * {@code PeerLink} and {@code OutboundConnection} of the network module. Not thread-safe.
 */
final class OutgoingLink {

	private static final long HANDSHAKE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final int MAX_PROBES_WITHOUT_INPUT = 4;

	private final SimulatedHost host;

	private final String peer;

	private final FleetNetwork network;

	private final LinkListener listener;

	/** The connection that passed the handshake, null while there is none. */
	private Connection connection;

	private int failures;

	/** When the newest message of the peer arrived, by the clock of this host. */
	private long newestReplyNanos;

	OutgoingLink(SimulatedHost host, String peer, FleetNetwork network, LinkListener listener) {
		this.host = host;
		this.peer = peer;
		this.network = network;
		this.listener = listener;
	}

	void connect() {
		Connection opening = new Connection();
		opening.link = this.network.open(this.host.name(), this.peer, opening);
		opening.send(new Hello(true, this.host.name(), false), 0);
		this.host.schedule(HANDSHAKE_TIMEOUT_NANOS, () -> {
			if (opening != this.connection && !opening.ended) {
				opening.end("the handshake took too long");
			}
		});
	}

	private void reconnectLater() {
		long longest = Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << Math.min(this.failures, 4));
		this.failures++;
		this.host.schedule(longest / 2 + (long) (this.network.random().nextDouble() * longest / 2), this::connect);
	}

	boolean isUp() {
		return this.connection != null;
	}

	long newestReplyNanos() {
		return this.newestReplyNanos;
	}

	// Closes a silent connection; a new one is opened.
	void reconnect() {
		if (this.connection != null) {
			this.connection.end("the link is blocked");
		}
	}

	CompletableFuture<FleetMessage> request(FleetMessage message, long timeoutNanos) {
		CompletableFuture<FleetMessage> reply = new CompletableFuture<>();
		if (this.connection == null) {
			reply.completeExceptionally(
					DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN, "no link to " + this.peer));
			return reply;
		}
		if (isFull()) {
			reply.completeExceptionally(DispatchException.of(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					"the link to " + this.peer + " has too many unsent bytes"));
			return reply;
		}
		this.connection.request(message, timeoutNanos, reply);
		return reply;
	}

	// Sends a one-way message, also over a full link, as PeerLinks.sendUnlessDown does;
	// returns false if the link is down.
	boolean send(FleetMessage message) {
		if (this.connection == null) {
			return false;
		}
		this.connection.send(message, 0);
		return true;
	}

	boolean isFull() {
		return this.network.isImpaired(Impairment.FULL, this.host.name(), this.peer);
	}

	/** Is notified when a link is lost. */
	interface LinkListener {

		void linkDown(String peer, String reason);

	}

	private final class Connection implements LinkEnd {

		private final Map<Long, Request> requests = new LinkedHashMap<>();

		private FleetLink link;

		private long lastCorrelationId;

		/** The newest clock of the peer that arrived on this connection. */
		private long peerClockNanos;

		private int probesWithoutInput;

		private boolean ended;

		void send(FleetMessage message, long correlationId) {
			this.link.sendToAcceptor(
					new Frame(message, correlationId, OutgoingLink.this.host.clockNanos(), this.peerClockNanos));
		}

		void request(FleetMessage message, long timeoutNanos, CompletableFuture<FleetMessage> reply) {
			long id = ++this.lastCorrelationId;
			this.requests.put(id, new Request(message, reply, false));
			OutgoingLink.this.host.schedule(timeoutNanos,
					() -> fail(id, ErrorKind.DEADLINE_EXCEEDED, "no reply from " + OutgoingLink.this.peer));
			send(message, id);
		}

		private void fail(long id, ErrorKind kind, String reason) {
			Request request = this.requests.remove(id);
			if (request != null) {
				request.reply().completeExceptionally(DispatchException.of(kind, Outcome.UNKNOWN, reason));
			}
		}

		@Override
		public void received(Frame frame) {
			OutgoingLink.this.host.handle(() -> {
				if (!this.ended) {
					handle(frame);
				}
			});
		}

		private void handle(Frame frame) {
			OutgoingLink outer = OutgoingLink.this;
			this.probesWithoutInput = 0;
			this.peerClockNanos = Math.max(this.peerClockNanos, frame.clockNanos());
			if (frame.message() instanceof Hello hello && !hello.last()) {
				send(new Hello(true, outer.host.name(), true), 0);
			}
			else if (frame.message() instanceof Hello && outer.connection != this) {
				outer.connection = this;
				outer.failures = 0;
				outer.newestReplyNanos = outer.host.clockNanos();
				outer.host.schedule(PROBE_INTERVAL_NANOS, this::checkLiveness);
			}
			else {
				outer.newestReplyNanos = outer.host.clockNanos();
				reply(frame);
			}
		}

		// The probes themselves are not sent, since heartbeats are more frequent.
		private void checkLiveness() {
			if (this.ended) {
				return;
			}
			this.probesWithoutInput++;
			if (this.probesWithoutInput > MAX_PROBES_WITHOUT_INPUT) {
				end("no input was received");
				return;
			}
			OutgoingLink.this.host.schedule(PROBE_INTERVAL_NANOS, this::checkLiveness);
		}

		private void reply(Frame frame) {
			Request request = this.requests.remove(frame.correlationId());
			if (request == null) {
				return;
			}
			if (frame.message() instanceof Refusal refusal && refusal.stale() && !request.repeated()
					&& !request.reply().isDone()) {
				this.requests.put(frame.correlationId(), request.repeat());
				send(request.message(), frame.correlationId());
			}
			else if (frame.message() instanceof Refusal refusal) {
				request.reply()
					.completeExceptionally(
							DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, refusal.reason()));
			}
			else {
				request.reply().complete(frame.message());
			}
		}

		@Override
		public void closed() {
			OutgoingLink.this.host.handle(() -> {
				if (!this.ended) {
					end("the connection was closed");
				}
			});
		}

		void end(String reason) {
			OutgoingLink outer = OutgoingLink.this;
			this.ended = true;
			this.link.closeByOpener();
			if (outer.connection == this) {
				outer.connection = null;
				outer.listener.linkDown(outer.peer, reason);
			}
			List.copyOf(this.requests.keySet())
				.forEach((id) -> fail(id, ErrorKind.HOLDER_UNREACHABLE,
						"the link to " + outer.peer + " was lost: " + reason));
			outer.reconnectLater();
		}

	}

	/**
	 * A request that awaits its reply.
	 *
	 * @param message the message
	 * @param reply receives the reply
	 * @param repeated whether it was sent again after the peer refused it as stale
	 */
	private record Request(FleetMessage message, CompletableFuture<FleetMessage> reply, boolean repeated) {

		Request repeat() {
			return new Request(this.message, this.reply, true);
		}

	}

}
