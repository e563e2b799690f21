package org.limpetgate.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.limpetgate.Incarnation;
import org.limpetgate.submission.Claim;
import org.limpetgate.submission.ClaimRecord;
import org.limpetgate.submission.ClaimTable;
import org.limpetgate.submission.KeyHash;
import org.limpetgate.submission.SubmissionSettings;
import org.limpetgate.wire.ClaimCodec;

/**
 * Measures the memory, encoded size and processor time of claims.
 */
final class ClaimCost {

	private static final int[] TABLE_SIZES = { 50_000, 150_000, 450_000 };

	private static final int[] BATCH_SIZES = { 1, 10, 100, 600 };

	private static final int FILL_BATCH = 10;

	private static final long TIME_TO_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Random random;

	private final Incarnation holder = SampleData.host(0, 1);

	ClaimCost(long seed) {
		this.random = new Random(seed);
	}

	List<Series> measure() {
		List<Series> series = new ArrayList<>();
		series.add(Series.measure("claim table memory", "bytes", "claim", TABLE_SIZES, this::tableBytes));
		series.add(Series.measure("log record of claims", "bytes", "claim", BATCH_SIZES,
				(batch) -> payload(batch, 0).length));
		series
			.add(Series.measureTime("claims read: decode and fold and expire", "claim", BATCH_SIZES, this::foldNanos));
		series.add(Series.measureTime("claims encoded", "claim", BATCH_SIZES, (batch) -> {
			List<Claim> claims = claims(batch, 0);
			return Meter.nanos(() -> ClaimCodec.encode(this.holder, claims));
		}));
		return series;
	}

	private List<Claim> claims(int count, long second) {
		List<Claim> claims = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			claims.add(
					new Claim(new KeyHash(this.random.nextLong(), this.random.nextInt()), this.random.nextLong() >>> 16,
							this.holder, SampleData.EPOCH_NANOS + second * SECOND_NANOS + TIME_TO_EXPIRY_NANOS, 0));
		}
		return claims;
	}

	private byte[] payload(int claims, long second) {
		return ClaimCodec.encode(this.holder, claims(claims, second));
	}

	private double tableBytes(int size) {
		return Meter.heapBytes(() -> {
			ClaimTable table = new ClaimTable(SubmissionSettings.DEFAULT);
			for (int i = 0; i < size; i += FILL_BATCH) {
				table.apply(new ClaimRecord(i, SampleData.EPOCH_NANOS, ClaimCodec.decode(payload(FILL_BATCH, 0))));
			}
			return table;
		});
	}

	// Applies one record per second over more than the retention, so that in the steady
	// state as many claims expire as are added.
	private double foldNanos(int batch) {
		int records = (int) (SubmissionSettings.DEFAULT.claimRetentionNanos() / SECOND_NANOS) + 100;
		List<byte[]> payloads = new ArrayList<>();
		for (int i = 0; i < records; i++) {
			payloads.add(payload(batch, 1_000_000));
		}
		ClaimTable table = new ClaimTable(SubmissionSettings.DEFAULT);
		long[] step = new long[1];
		Runnable read = () -> {
			byte[] payload = payloads.get((int) (step[0] % records));
			table.apply(new ClaimRecord(step[0]++, SampleData.EPOCH_NANOS + (1_000_000 + step[0]) * SECOND_NANOS,
					ClaimCodec.decode(payload)));
		};
		for (int i = 0; i < records; i++) {
			read.run();
		}
		return Meter.nanos(read);
	}

}
