package org.limpetgate.submission;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Groups claims into appends.
 * <p>
 * At most one append is in flight. The time between appends rises with the rate of
 * claims: a lone claim is appended at once, and under load many claims share an append.
 * Not thread-safe.
 */
final class ClaimAppender {

	/** A record of this many claims takes about 22 KB. */
	private static final int MAX_BATCH = 1000;

	/**
	 * The time between appends per claim/s. At 100 claims/s an append then takes about 12
	 * claims. The most appends come at 29 claims/s: 29 per second and host.
	 */
	private static final double INTERVAL_NANOS_PER_RATE = TimeUnit.MICROSECONDS.toNanos(1200);

	private static final double RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final SubmissionSettings settings;

	private final Map<KeyHash, Claim> queued = new LinkedHashMap<>();

	private Map<KeyHash, Claim> inFlight;

	private long append;

	private long sentNanos;

	private long notBeforeNanos;

	private long backoffNanos;

	private double claimsPerSecond;

	private long rateNanos;

	private boolean markerWanted;

	ClaimAppender(SubmissionSettings settings) {
		this.settings = settings;
	}

	void add(Claim claim, long nowNanos) {
		if (this.queued.put(claim.key(), claim) == null) {
			decayRate(nowNanos);
			this.claimsPerSecond += TimeUnit.SECONDS.toNanos(1) / RATE_WINDOW_NANOS;
		}
	}

	boolean contains(KeyHash key) {
		return this.queued.containsKey(key) || (this.inFlight != null && this.inFlight.containsKey(key));
	}

	// Removes a claim that is not in flight.
	void remove(KeyHash key) {
		this.queued.remove(key);
	}

	void wantMarker() {
		this.markerWanted = this.queued.isEmpty() && this.inFlight == null;
	}

	// Tests whether the last append failed and none has succeeded since.
	boolean isFailing() {
		return this.backoffNanos > 0;
	}

	// Ends the append in flight.
	Collection<Claim> succeeded(long number) {
		if (this.inFlight == null || number != this.append) {
			return List.of();
		}
		Collection<Claim> claims = this.inFlight.values();
		this.inFlight = null;
		this.backoffNanos = 0;
		return claims;
	}

	// Ends the append in flight and queues its claims again, since they may not have been
	// stored. Appending a claim twice is harmless.
	void failed(long number, long nowNanos, Predicate<Claim> isWanted) {
		if (this.inFlight == null || number != this.append) {
			return;
		}
		Map<KeyHash, Claim> later = new LinkedHashMap<>(this.queued);
		this.queued.clear();
		this.inFlight.values().stream().filter(isWanted).forEach((claim) -> this.queued.put(claim.key(), claim));
		later.forEach(this.queued::putIfAbsent);
		this.inFlight = null;
		this.backoffNanos = Math.min(MAX_BACKOFF_NANOS, Math.max(FIRST_BACKOFF_NANOS, 2 * this.backoffNanos));
		this.notBeforeNanos = nowNanos + this.backoffNanos;
	}

	// Returns the next append if one is due.
	SubmissionEffect.AppendClaims next(long nowNanos, Predicate<Claim> isWanted) {
		if (this.inFlight != null && nowNanos - this.sentNanos >= this.settings.appendTimeoutNanos()) {
			failed(this.append, nowNanos, isWanted);
		}
		if (this.inFlight != null || nowNanos < this.notBeforeNanos || !hasWork()) {
			return null;
		}
		this.markerWanted = false;
		this.inFlight = take();
		this.append++;
		this.sentNanos = nowNanos;
		this.notBeforeNanos = nowNanos + interval(nowNanos);
		return new SubmissionEffect.AppendClaims(this.append, List.copyOf(this.inFlight.values()));
	}

	long nextWakeNanos() {
		if (this.inFlight != null) {
			return this.sentNanos + this.settings.appendTimeoutNanos();
		}
		return hasWork() ? this.notBeforeNanos : Long.MAX_VALUE;
	}

	private boolean hasWork() {
		return this.markerWanted || !this.queued.isEmpty();
	}

	private Map<KeyHash, Claim> take() {
		Map<KeyHash, Claim> batch = new LinkedHashMap<>();
		Iterator<Claim> claims = this.queued.values().iterator();
		while (claims.hasNext() && batch.size() < MAX_BATCH) {
			Claim claim = claims.next();
			batch.put(claim.key(), claim);
			claims.remove();
		}
		return batch;
	}

	private long interval(long nowNanos) {
		decayRate(nowNanos);
		long wanted = (long) (INTERVAL_NANOS_PER_RATE * this.claimsPerSecond);
		return Math.max(this.settings.minAppendIntervalNanos(),
				Math.min(this.settings.maxAppendIntervalNanos(), wanted));
	}

	private void decayRate(long nowNanos) {
		this.claimsPerSecond *= Math.exp((this.rateNanos - nowNanos) / RATE_WINDOW_NANOS);
		this.rateNanos = nowNanos;
	}

}
