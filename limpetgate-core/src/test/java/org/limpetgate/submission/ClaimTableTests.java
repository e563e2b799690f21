package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.SubmissionKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link ClaimTable}, {@link Ticket} and {@link DataCentres}.
 */
class ClaimTableTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final int KEYS = 8;

	// Guards against hosts that disagree on the holder of a key because they read the
	// stream in different batches or read records twice.
	@Property(seed = "1", tries = 200)
	void claimsAreIndependentOfHowTheStreamIsRead(@ForAll long seed) {
		Random random = new Random(seed);
		List<ClaimRecord> stream = randomStream(random);
		ClaimTable inOrder = new ClaimTable(SubmissionSettings.DEFAULT);
		stream.forEach(inOrder::apply);
		ClaimTable inBatches = new ClaimTable(SubmissionSettings.DEFAULT);
		while (inBatches.nextOffset() < stream.size()) {
			int from = Math.max(0, (int) inBatches.nextOffset() - random.nextInt(5));
			int to = Math.min(stream.size(), (int) inBatches.nextOffset() + 1 + random.nextInt(5));
			List<ClaimRecord> batch = stream.subList(from, to);
			assertThat(inBatches.beginRead(batch, 0, stream.size(), 0)).isFalse();
			batch.forEach(inBatches::apply);
		}
		for (int key = 0; key < KEYS; key++) {
			assertThat(inBatches.find(new KeyHash(0, key))).isEqualTo(inOrder.find(new KeyHash(0, key)));
		}
		assertThat(inBatches.size()).isEqualTo(inOrder.size()).isLessThanOrEqualTo(KEYS);
	}

	private static List<ClaimRecord> randomStream(Random random) {
		List<ClaimRecord> stream = new ArrayList<>();
		long time = 1_000_000 * SECOND;
		for (int offset = 0; offset < 60; offset++) {
			time += random.nextInt(60) * SECOND;
			List<Claim> claims = new ArrayList<>();
			for (int i = random.nextInt(4); i > 0; i--) {
				Incarnation holder = Incarnation.of(HostId.of("host" + random.nextInt(3)), 1);
				claims.add(new Claim(new KeyHash(0, random.nextInt(KEYS)), random.nextInt(2), holder,
						time + random.nextInt(700) * SECOND, random.nextInt(3)));
			}
			stream.add(new ClaimRecord(offset, time, claims));
		}
		return stream;
	}

	@Example
	void firstClaimOfEachGenerationWinsUntilItsRetentionEnds() {
		long claimRetention = SubmissionSettings.DEFAULT.claimRetentionNanos();
		// Each row: append time, fingerprint, holder, generation, expected holder.
		long[][] rows = { { 0, 1, 1, 0, 1 }, { 1, 1, 2, 0, 1 }, { 2, 9, 3, 1, 1 }, { 3, 1, 4, 1, 4 }, { 4, 1, 5, 1, 4 },
				{ 5, 1, 6, 0, 4 }, { claimRetention, 1, 7, 0, 4 }, { claimRetention + 1, 1, 8, 0, 8 } };
		ClaimTable table = new ClaimTable(SubmissionSettings.DEFAULT);
		KeyHash key = new KeyHash(1, 2);
		for (int i = 0; i < rows.length; i++) {
			Incarnation holder = Incarnation.of(HostId.of("host"), rows[i][2]);
			Claim claim = new Claim(key, rows[i][1], holder, rows[i][0], (int) rows[i][3]);
			table.apply(new ClaimRecord(i, rows[i][0], List.of(claim)));
			assertThat(table.find(key).holder().number()).as("row " + i).isEqualTo(rows[i][4]);
		}
	}

	// Guards against tickets that are valid for another caller, issuer or expiry.
	@Example
	void onlyUnalteredTicketsOfTheCallerAreValid() {
		byte[] secret = "sixteen bytes or more".getBytes(StandardCharsets.US_ASCII);
		CallerId caller = CallerId.of("caller");
		TicketAuthority issuer = new TicketAuthority(Incarnation.of(HostId.of("a:b"), Long.MAX_VALUE), secret);
		TicketAuthority other = new TicketAuthority(Incarnation.of(HostId.of("c"), 1), secret);
		Ticket ticket = issuer.issue(caller, 2, Long.MAX_VALUE).get(1);
		assertThat(other.verify(caller, ticket.toKey())).isEqualTo(ticket);
		assertThat(other.verify(CallerId.of("other"), ticket.toKey())).isNull();
		String text = ticket.toKey().value();
		for (int i = "ticket:".length(); i < text.length(); i++) {
			char changed = (text.charAt(i) == '1') ? '2' : '1';
			String altered = text.substring(0, i) + changed + text.substring(i + 1);
			assertThat(other.verify(caller, SubmissionKey.of(altered))).as(altered).isNull();
		}
		for (String broken : new String[] { "ticket:", "ticket:a", "ticket:a:b:c:d", "ticket:a:1:1:1:" }) {
			assertThat(other.verify(caller, SubmissionKey.of(broken))).as(broken).isNull();
		}
	}

	// Guards against hosts that reject each other's tickets during the rotation of a
	// secret.
	@Example
	void secretRotationRejectsNoTickets() {
		byte[] a = "the old secret, 16 bytes or more".getBytes(StandardCharsets.US_ASCII);
		byte[] b = "the new secret, 16 bytes or more".getBytes(StandardCharsets.US_ASCII);
		List<List<byte[]>> steps = List.of(List.of(a), List.of(a, b), List.of(b, a), List.of(b));
		// Rows are the steps of the issuer, columns those of the verifying host.
		boolean[][] accepted = { { true, true, true, false }, { true, true, true, false }, { false, true, true, true },
				{ false, true, true, true } };
		CallerId caller = CallerId.of("caller");
		TicketAuthority issuer = new TicketAuthority(Incarnation.of(HostId.of("a"), 1), a);
		TicketAuthority checker = new TicketAuthority(Incarnation.of(HostId.of("b"), 1), a);
		for (int from = 0; from < steps.size(); from++) {
			issuer.replaceSecrets(steps.get(from));
			SubmissionKey key = issuer.issue(caller, 1, SECOND).get(0).toKey();
			for (int at = 0; at < steps.size(); at++) {
				checker.replaceSecrets(steps.get(at));
				assertThat(checker.verify(caller, key) != null).as("step %d to %d", from, at)
					.isEqualTo(accepted[from][at]);
			}
		}
		for (List<byte[]> invalid : List.of(List.<byte[]>of(), List.of(a, new byte[15]))) {
			assertThatIllegalArgumentException().isThrownBy(() -> issuer.replaceSecrets(invalid));
		}
		assertThat(checker.verify(caller, issuer.issue(caller, 1, SECOND).get(0).toKey())).isNotNull();
	}

	// Guards against a home that depends on the order of the data centres in the
	// settings or on the host that computes it.
	@Example
	void homesAreTheSameOnAllHostsAndEvenlyDistributed() {
		List<DataCentreId> all = List.of(DataCentreId.of("a"), DataCentreId.of("b"), DataCentreId.of("c"));
		List<DataCentreId> reversed = List.of(all.get(2), all.get(1), all.get(0));
		int[] homes = new int[all.size()];
		for (int i = 0; i < 3000; i++) {
			KeyHash key = KeyHash.of(CallerId.of("caller"), SubmissionKey.of("key" + i));
			DataCentreId home = DataCentres.of(all.get(0), all).homeOf(key);
			assertThat(DataCentres.of(all.get(1), reversed).homeOf(key)).isEqualTo(home);
			homes[all.indexOf(home)]++;
		}
		assertThat(homes).satisfies((counts) -> {
			for (int count : counts) {
				assertThat(count).isBetween(850, 1150);
			}
		});
	}

}
