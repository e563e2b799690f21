package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

import org.limpetgate.scheduling.FleetLink.LinkEnd;

/**
 * The network between the hosts and workers of {@link FleetSimulation}, which are named
 * by their ids. Each direction between two of them can be interrupted. Not thread-safe.
 */
final class FleetNetwork {

	static final long MILLI = 1_000_000;

	private static final int MIN_DELAY_MICROS = 200;

	private static final int MAX_EXTRA_DELAY_MICROS = 1500;

	private final VirtualTime time;

	private final Random random;

	/** How often each direction is impaired, by the kind of impairment. */
	private final Map<Impairment, Map<Direction, Integer>> impairments = new EnumMap<>(Impairment.class);

	/** The queueing delay of slow directions, in nanoseconds. */
	private final Map<Direction, Long> queueingNanos = new HashMap<>();

	private final List<FleetLink> links = new ArrayList<>();

	/** Returns the accepting end of a link, null if the host is down. */
	private Function<FleetLink, LinkEnd> acceptor;

	FleetNetwork(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	void setAcceptor(Function<FleetLink, LinkEnd> acceptor) {
		this.acceptor = acceptor;
	}

	VirtualTime time() {
		return this.time;
	}

	Random random() {
		return this.random;
	}

	long delayNanos() {
		return (MIN_DELAY_MICROS + this.random.nextInt(MAX_EXTRA_DELAY_MICROS)) * 1000L;
	}

	// Returns the delay of a frame that is written now.
	long delayNanos(String from, String to) {
		return delayNanos() + this.queueingNanos.getOrDefault(new Direction(from, to), 0L);
	}

	FleetLink open(String opener, String peer, LinkEnd openerEnd) {
		FleetLink link = new FleetLink(this, opener, peer, openerEnd);
		this.links.removeIf(FleetLink::isClosed);
		this.links.add(link);
		return link;
	}

	LinkEnd accept(FleetLink link) {
		return this.acceptor.apply(link);
	}

	List<FleetLink> links() {
		return this.links;
	}

	boolean isOpen(String from, String to) {
		return !isImpaired(Impairment.INTERRUPTED, from, to);
	}

	boolean isImpaired(Impairment kind, String from, String to) {
		return impaired(kind).containsKey(new Direction(from, to));
	}

	private Map<Direction, Integer> impaired(Impairment kind) {
		return this.impairments.computeIfAbsent(kind, (key) -> new HashMap<>());
	}

	// Impairs a direction until repair has been called as often.
	void impair(Impairment kind, String from, String to) {
		impaired(kind).merge(new Direction(from, to), 1, Integer::sum);
	}

	void repair(Impairment kind, String from, String to) {
		impaired(kind).computeIfPresent(new Direction(from, to), (key, count) -> (count > 1) ? count - 1 : null);
	}

	// Delays the frames that are written from now on; 0 ends the delay.
	void setQueueingDelay(String from, String to, long nanos) {
		this.queueingNanos.put(new Direction(from, to), nanos);
	}

	void interrupt(String from, String to) {
		impair(Impairment.INTERRUPTED, from, to);
	}

	void heal(String from, String to) {
		repair(Impairment.INTERRUPTED, from, to);
		if (isOpen(from, to)) {
			List.copyOf(this.links)
				.stream()
				.filter((link) -> connects(link, from, to) || connects(link, to, from))
				.forEach(FleetLink::retransmit);
		}
	}

	private static boolean connects(FleetLink link, String opener, String acceptor) {
		return link.opener().equals(opener) && link.acceptor().equals(acceptor);
	}

	/** What impairs a direction. */
	enum Impairment {

		/** Nothing is delivered. */
		INTERRUPTED,
		/** Orders to workers that meet an interruption are lost, and never late. */
		LOSSY,
		/** Orders to workers, and their answers, are lost or late. */
		UNRELIABLE,
		/** The write buffers of the links are full. */
		FULL

	}

	private record Direction(String from, String to) {

	}

}
