package org.limpetgate.scheduling;

import java.util.ArrayList;
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

	/** The number of interruptions by direction. */
	private final Map<Direction, Integer> interruptions = new HashMap<>();

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
		return !this.interruptions.containsKey(new Direction(from, to));
	}

	// Interrupts a direction until heal has been called as often.
	void interrupt(String from, String to) {
		this.interruptions.merge(new Direction(from, to), 1, Integer::sum);
	}

	void heal(String from, String to) {
		this.interruptions.computeIfPresent(new Direction(from, to), (key, count) -> (count > 1) ? count - 1 : null);
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

	private record Direction(String from, String to) {

	}

}
