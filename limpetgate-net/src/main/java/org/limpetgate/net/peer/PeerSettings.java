package org.limpetgate.net.peer;

import java.net.InetAddress;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * The settings that {@link PeerLinks} and {@link PeerServer} of one host share.
 *
 * @param self the identity of this host
 * @param keys the keys that authenticate hosts
 * @param limits the limits
 * @param tls the TLS contexts, null for links without TLS
 * @param metrics the receiver of metrics events
 * @param localAddress the local address of opened links, null to let the operating system
 * choose
 * @param clock a clock that never decreases, in nanoseconds
 */
public record PeerSettings(PeerIdentity self, PeerKeys keys, PeerLimits limits, PeerTls tls, PeerMetrics metrics,
		InetAddress localAddress, LongSupplier clock) {

	public PeerSettings {
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(keys, "keys");
		Objects.requireNonNull(limits, "limits");
		Objects.requireNonNull(metrics, "metrics");
		Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Returns settings with the default limits and the monotonic clock, without TLS and
	 * metrics.
	 * @param self the identity of this host, not null
	 * @param keys the keys that authenticate hosts, not null
	 * @return the settings, not null
	 */
	public static PeerSettings of(PeerIdentity self, PeerKeys keys) {
		return new PeerSettings(self, keys, PeerLimits.defaults(), null, PeerMetrics.NONE, null, System::nanoTime);
	}

	/**
	 * Returns a copy with other limits.
	 * @param limits the limits, not null
	 * @return the copy, not null
	 */
	public PeerSettings withLimits(PeerLimits limits) {
		return new PeerSettings(this.self, this.keys, limits, this.tls, this.metrics, this.localAddress, this.clock);
	}

	/**
	 * Returns a copy with TLS.
	 * @param tls the TLS contexts, not null
	 * @return the copy, not null
	 */
	public PeerSettings withTls(PeerTls tls) {
		return new PeerSettings(this.self, this.keys, this.limits, Objects.requireNonNull(tls, "tls"), this.metrics,
				this.localAddress, this.clock);
	}

	/**
	 * Returns a copy with metrics.
	 * @param metrics the receiver of metrics events, not null
	 * @return the copy, not null
	 */
	public PeerSettings withMetrics(PeerMetrics metrics) {
		return new PeerSettings(this.self, this.keys, this.limits, this.tls, metrics, this.localAddress, this.clock);
	}

	/**
	 * Returns a copy with the local address of opened links, so that peers and firewalls
	 * see the configured address.
	 * @param localAddress the address, not null
	 * @return the copy, not null
	 */
	public PeerSettings withLocalAddress(InetAddress localAddress) {
		return new PeerSettings(this.self, this.keys, this.limits, this.tls, this.metrics, localAddress, this.clock);
	}

	/**
	 * Returns a copy with another clock.
	 * @param clock a clock that never decreases, in nanoseconds, not null
	 * @return the copy, not null
	 */
	public PeerSettings withClock(LongSupplier clock) {
		return new PeerSettings(this.self, this.keys, this.limits, this.tls, this.metrics, this.localAddress, clock);
	}

}
