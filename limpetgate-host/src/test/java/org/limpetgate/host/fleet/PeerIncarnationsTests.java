package org.limpetgate.host.fleet;

import net.jqwik.api.Example;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerIncarnations}.
 */
class PeerIncarnationsTests {

	private static final Incarnation FIRST = Incarnation.of(HostId.of("10.0.0.1:1"), 20);

	/** Has the lower number, as after a clock that was set back. */
	private static final Incarnation SECOND = Incarnation.of(FIRST.host(), 10);

	private final PeerIncarnations incarnations = new PeerIncarnations();

	/** Guards against a restart that is not noticed, also with a clock that is behind. */
	@Example
	void nextIncarnationReplacesTheFormerOneOnce() {
		assertThat(this.incarnations.seen(FIRST)).isFalse();
		assertThat(this.incarnations.seen(FIRST)).isFalse();
		assertThat(this.incarnations.seen(SECOND)).isTrue();
		assertThat(this.incarnations.seen(SECOND)).isFalse();
		assertThat(this.incarnations.isPresent(SECOND)).isTrue();
		assertThat(this.incarnations.isPresent(FIRST)).isFalse();
	}

	/**
	 * Guards against a late handshake that makes the present incarnation count as ended.
	 */
	@Example
	void lateHandshakeOfTheFormerIncarnationIsIgnored() {
		this.incarnations.seen(FIRST);
		this.incarnations.seen(SECOND);
		assertThat(this.incarnations.seen(FIRST)).isFalse();
		assertThat(this.incarnations.isPresent(SECOND)).isTrue();
	}

}
