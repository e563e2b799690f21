package org.limpetgate.net.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.proto.PeerFrame;

/**
 * The outgoing links to all peers.
 * <p>
 * This host sends its requests on the connections that it opened and receives the replies
 * on them; requests of the peers arrive at the {@link PeerServer}. Nothing is queued for
 * a link that is down: requests fail immediately and one-way messages are dropped.
 * <p>
 * Thread-safe.
 */
public final class PeerLinks {

	/** The bytes reserved for version, correlation id and clock in a frame. */
	static final int FRAME_OVERHEAD_BYTES = 32;

	private final EventLoopGroup group;

	private final PeerSettings settings;

	private final SplittableRandom random;

	/**
	 * An immutable map that is replaced on each change, so that requests need no lock.
	 */
	private volatile Map<HostId, PeerLink> links = Map.of();

	private PeerLinks(EventLoopGroup group, PeerSettings settings, SplittableRandom random) {
		this.group = group;
		this.settings = settings;
		this.random = random;
	}

	/**
	 * Returns links without peers.
	 * @param group the event loops, not shut down by the links
	 * @param settings the settings, not null
	 * @param random the source of jitter, not to be used elsewhere afterwards
	 * @return the links, not null
	 */
	public static PeerLinks of(EventLoopGroup group, PeerSettings settings, SplittableRandom random) {
		return new PeerLinks(group, settings, random);
	}

	/**
	 * Replaces the peers. Links to peers whose address is unchanged stay open.
	 * @param peers the peers, not null; this host itself is ignored
	 */
	public synchronized void configure(List<PeerAddress> peers) {
		Map<HostId, PeerLink> newLinks = new HashMap<>();
		for (PeerAddress peer : peers) {
			if (!peer.host().equals(this.settings.self().host())) {
				PeerLink existing = this.links.get(peer.host());
				boolean unchanged = existing != null && existing.peer().equals(peer);
				newLinks.put(peer.host(), unchanged ? existing : open(peer));
			}
		}
		this.links.forEach((host, link) -> {
			if (newLinks.get(host) != link) {
				link.close();
			}
		});
		this.links = Map.copyOf(newLinks);
	}

	private PeerLink open(PeerAddress peer) {
		PeerLink link = new PeerLink(peer, this.group.next(), this.settings, this.random.split());
		link.start();
		return link;
	}

	/**
	 * Sends a request. If the peer refuses it because the time that it repeats is too
	 * old, it is sent once more, unless the reply was cancelled.
	 * @param host the peer, not null
	 * @param message the message; version and correlation id are set here
	 * @param timeoutNanos the time limit for the reply, in nanoseconds
	 * @return the reply, or a failure with a {@link DispatchException}:
	 * {@link Outcome#NOT_RUN} if the request was certainly not sent completely or the
	 * peer reported that it did not run, else {@link Outcome#UNKNOWN}; not null
	 */
	public CompletableFuture<PeerFrame> request(HostId host, PeerFrame.Builder message, long timeoutNanos) {
		return request(host, null, message, timeoutNanos);
	}

	/**
	 * Sends a request to one incarnation of a host and to no later one.
	 * @param target the incarnation, not null
	 * @param message the message; version and correlation id are set here
	 * @param timeoutNanos the time limit for the reply, in nanoseconds
	 * @return the reply or a failure as in
	 * {@link #request(HostId, PeerFrame.Builder, long)}; {@link Outcome#NOT_RUN} if the
	 * link is connected to another incarnation; not null
	 */
	public CompletableFuture<PeerFrame> request(Incarnation target, PeerFrame.Builder message, long timeoutNanos) {
		return request(target.host(), target, message, timeoutNanos);
	}

	private CompletableFuture<PeerFrame> request(HostId host, Incarnation target, PeerFrame.Builder message,
			long timeoutNanos) {
		PeerLink link = this.links.get(host);
		if (link == null) {
			return notConfigured(host);
		}
		return link.request(target, message.build(), timeoutNanos);
	}

	/**
	 * Sends a one-way message. It is dropped if the link is down or its write buffer is
	 * full, since a later message replaces it.
	 * @param host the peer, not null
	 * @param message the message; version and correlation id are set here
	 */
	public void send(HostId host, PeerFrame.Builder message) {
		PeerLink link = this.links.get(host);
		if (link == null) {
			this.settings.metrics().messageDropped(host);
		}
		else {
			link.send(message.build());
		}
	}

	/**
	 * Sends a one-way message that no later message replaces. It is lost only with the
	 * connection: what is sent to the same peer afterwards arrives after it, or on a
	 * newer link. Neither the requests in flight nor the write buffer limit it, so that
	 * the caller must bound the number of such messages.
	 * @param host the peer, not null
	 * @param message the message; version and correlation id are set here
	 * @return completes when the operating system has accepted the message; fails with a
	 * {@link DispatchException} of outcome {@link Outcome#NOT_RUN} if the link is down or
	 * is closed before; not null
	 */
	public CompletableFuture<Void> sendUnlessDown(HostId host, PeerFrame.Builder message) {
		PeerLink link = this.links.get(host);
		return (link != null) ? link.sendUnlessDown(message.build()) : notConfigured(host);
	}

	private static <T> CompletableFuture<T> notConfigured(HostId host) {
		return CompletableFuture.failedFuture(DispatchException.of(ErrorKind.HOLDER_UNREACHABLE, Outcome.NOT_RUN,
				"'" + host + "' is not a configured peer"));
	}

	/**
	 * Tests whether a link has passed the handshake and is open.
	 * @param host the peer, not null
	 * @return true if requests can be sent now
	 */
	public boolean isUp(HostId host) {
		PeerLink link = this.links.get(host);
		return link != null && link.isUp();
	}

	/**
	 * Returns when the last frame of a host arrived.
	 * @param host the peer, not null
	 * @return the time on the clock of the settings, in nanoseconds, 0 if none has
	 * arrived
	 */
	public long lastReceivedNanos(HostId host) {
		PeerLink link = this.links.get(host);
		return (link != null) ? link.lastReceivedNanos() : 0;
	}

	/**
	 * Returns when an incarnation of a host was last found to have ended: its address
	 * refused a connection, or another incarnation answered.
	 * @param host the peer, not null
	 * @return the time on the clock of the settings, in nanoseconds, 0 if none was
	 */
	public long endedNanos(HostId host) {
		PeerLink link = this.links.get(host);
		return (link != null) ? link.endedNanos() : 0;
	}

	/**
	 * Closes a link that is open and connects it again after the usual delay. Requests
	 * without a reply fail.
	 * @param host the peer, not null
	 * @param reason the reason, for messages
	 */
	public void reopen(HostId host, String reason) {
		PeerLink link = this.links.get(host);
		if (link != null) {
			link.reopen(reason);
		}
	}

	/**
	 * Closes the link to a host if it leads to another incarnation than the present one,
	 * and connects it again. Requests without a reply fail.
	 * @param present the incarnation that is known to have replaced the earlier ones, not
	 * null
	 */
	public void reopenToIncarnation(Incarnation present) {
		PeerLink link = this.links.get(present.host());
		if (link != null) {
			link.reopenToIncarnation(present);
		}
	}

	/**
	 * Closes a link and prevents it from reconnecting, to simulate a network failure in
	 * tests.
	 * @param host the peer, not null
	 */
	public void block(HostId host) {
		setBlocked(host, true);
	}

	/**
	 * Reopens a link after {@link #block}.
	 * @param host the peer, not null
	 */
	public void unblock(HostId host) {
		setBlocked(host, false);
	}

	private void setBlocked(HostId host, boolean blocked) {
		PeerLink link = this.links.get(host);
		if (link != null) {
			link.setBlocked(blocked);
		}
	}

	/** Closes all links; pending requests fail. */
	public void close() {
		configure(List.of());
	}

}
