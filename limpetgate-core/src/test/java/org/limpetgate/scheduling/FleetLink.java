package org.limpetgate.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

import org.limpetgate.scheduling.FleetMessage.Frame;

/**
 * A connection between two hosts: one ordered stream of frames in each direction.
 * <p>
 * While the network does not carry a direction, its frames wait and are delivered when it
 * does again, even if the sender has closed its end since then. A reset discards the
 * frames that were not delivered. Not thread-safe.
 */
final class FleetLink {

	/** The longest delay between the end of a partition and the next retransmission. */
	private static final int MAX_RETRANSMISSION_MILLIS = 400;

	private final FleetNetwork network;

	private final String opener;

	private final String acceptor;

	private final Stream toAcceptor;

	private final Stream toOpener;

	/** Whether nothing is delivered any more, in spite of an intact network. */
	private boolean silent;

	FleetLink(FleetNetwork network, String opener, String acceptor, LinkEnd openerEnd) {
		this.network = network;
		this.opener = opener;
		this.acceptor = acceptor;
		this.toAcceptor = new Stream(opener, acceptor);
		this.toOpener = new Stream(acceptor, opener);
		this.toOpener.receiver = openerEnd;
	}

	String opener() {
		return this.opener;
	}

	String acceptor() {
		return this.acceptor;
	}

	void sendToAcceptor(Frame frame) {
		this.toAcceptor.write(frame);
	}

	void sendToOpener(Frame frame) {
		this.toOpener.write(frame);
	}

	// Closes the opener's end. What it has written is still delivered.
	void closeByOpener() {
		this.toOpener.receiver = null;
		this.toAcceptor.write(null);
	}

	void closeByAcceptor() {
		this.toAcceptor.receiver = null;
		this.toAcceptor.refused = true;
		this.toOpener.write(null);
	}

	// Closes the opener's end and discards what it has written and is not delivered.
	void resetByOpener() {
		this.toAcceptor.items.clear();
		closeByOpener();
	}

	void resetByAcceptor() {
		this.toOpener.items.clear();
		closeByAcceptor();
	}

	// Closes both ends as after a reset by the network.
	void reset() {
		this.toAcceptor.items.clear();
		this.toOpener.items.clear();
		this.toAcceptor.write(null);
		this.toOpener.write(null);
	}

	// Closes the opener's end as after a reset that does not reach the acceptor.
	void resetOpener() {
		this.toAcceptor.items.clear();
		this.toOpener.items.clear();
		LinkEnd closed = this.toOpener.receiver;
		this.toOpener.receiver = null;
		if (closed != null) {
			closed.closed();
		}
	}

	// Tests whether both ends are closed.
	boolean isClosed() {
		return this.toAcceptor.refused && this.toOpener.receiver == null;
	}

	void silence() {
		this.silent = true;
	}

	void resume() {
		this.silent = false;
		retransmit();
	}

	// Delivers the frames that wait, after a delay.
	void retransmit() {
		this.network.time()
			.schedule(this.network.random().nextInt(MAX_RETRANSMISSION_MILLIS) * FleetNetwork.MILLI, () -> {
				this.toAcceptor.deliverNext();
				this.toOpener.deliverNext();
			});
	}

	@Override
	public String toString() {
		return this.opener + " to " + this.acceptor;
	}

	/** The end of a link at one host. */
	interface LinkEnd {

		void received(Frame frame);

		// Called when the other side has closed the link.
		void closed();

	}

	/** The frames of one direction. A null frame closes the link. */
	private final class Stream {

		private final String from;

		private final String to;

		private final Deque<Item> items = new ArrayDeque<>();

		/** Receives the frames, null before the link is accepted and after its end. */
		private LinkEnd receiver;

		private boolean refused;

		private boolean deliveryScheduled;

		Stream(String from, String to) {
			this.from = from;
			this.to = to;
		}

		void write(Frame frame) {
			long arrivalNanos = FleetLink.this.network.time().nowNanos()
					+ FleetLink.this.network.delayNanos(this.from, this.to);
			this.items.add(new Item(frame, arrivalNanos));
			deliverNext();
		}

		private boolean isBlocked() {
			return FleetLink.this.silent || !FleetLink.this.network.isOpen(this.from, this.to);
		}

		void deliverNext() {
			if (this.deliveryScheduled || this.items.isEmpty() || isBlocked()) {
				return;
			}
			this.deliveryScheduled = true;
			VirtualTime time = FleetLink.this.network.time();
			time.schedule(Math.max(0, this.items.peek().arrivalNanos() - time.nowNanos()), this::deliver);
		}

		private void deliver() {
			this.deliveryScheduled = false;
			if (isBlocked() || this.items.isEmpty()) {
				return;
			}
			Frame frame = this.items.poll().frame();
			if (this == FleetLink.this.toAcceptor && this.receiver == null && !this.refused) {
				this.receiver = FleetLink.this.network.accept(FleetLink.this);
			}
			if (this.receiver != null && frame != null) {
				this.receiver.received(frame);
			}
			else if (this.receiver != null) {
				LinkEnd closed = this.receiver;
				this.receiver = null;
				this.refused = true;
				closed.closed();
			}
			deliverNext();
		}

	}

	/**
	 * A frame on its way.
	 *
	 * @param frame the frame, null to close the link
	 * @param arrivalNanos when it arrives unless the network is interrupted
	 */
	private record Item(Frame frame, long arrivalNanos) {

	}

}
