package org.limpetgate.submission;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Batches claims into appends to the claims stream.
 * <p>
 * At most one append is in flight. The interval between appends grows with the rate of
 * claims: at low load a claim is appended immediately, under load many claims share an
 * append. Not thread-safe.
 */
final class ClaimAppender {

	/** A record of this many claims takes about 22 KB. */
	private static final int MAX_BATCH = 1000;

	/**
	 * The interval between appends is this time multiplied by the rate in claims/s. At
	 * 100 claims/s an append contains about 12 claims. The rate of appends peaks at 29
	 * claims/s, with 29 appends per second and host.
	 */
	private static final double INTERVAL_NANOS_PER_RATE = TimeUnit.MICROSECONDS.toNanos(1200);

	private static final double RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final SubmissionSettings settings;

	private final Map<KeyHash, Claim> queued = new LinkedHashMap<>();

	private Map<KeyHash, Claim> inFlight;

	private long appendNumber;

	private long sentNanos;

	private long nextAppendNanos;

	private long backoffNanos;

	private double claimsPerSecond;

	private long rateUpdatedNanos;

	private boolean markerRequested;

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

	// Removes a queued claim; a claim that is in flight is not removed.
	void remove(KeyHash key) {
		this.queued.remove(key);
	}

	void requestMarker() {
		this.markerRequested = this.queued.isEmpty() && this.inFlight == null;
	}

	// Tests whether the most recent append failed.
	boolean isFailing() {
		return this.backoffNanos > 0;
	}

	// Ends the append in flight and returns its claims; returns an empty collection if
	// the number is not that of the append in flight.
	Collection<Claim> succeeded(long number) {
		if (this.inFlight == null || number != this.appendNumber) {
			return List.of();
		}
		Collection<Claim> claims = this.inFlight.values();
		this.inFlight = null;
		this.backoffNanos = 0;
		return claims;
	}

	// Ends the append in flight and queues its claims again, since they may not have
	// been stored. Appending a claim twice has no effect.
	void failed(long number, long nowNanos, Predicate<Claim> isStillNeeded) {
		if (this.inFlight == null || number != this.appendNumber) {
			return;
		}
		Map<KeyHash, Claim> later = new LinkedHashMap<>(this.queued);
		this.queued.clear();
		this.inFlight.values().stream().filter(isStillNeeded).forEach((claim) -> this.queued.put(claim.key(), claim));
		later.forEach(this.queued::putIfAbsent);
		this.inFlight = null;
		this.backoffNanos = Math.min(MAX_BACKOFF_NANOS, Math.max(FIRST_BACKOFF_NANOS, 2 * this.backoffNanos));
		this.nextAppendNanos = nowNanos + this.backoffNanos;
	}

	// Returns the next append, or null if none is due.
	SubmissionEffect.AppendClaims next(long nowNanos, Predicate<Claim> isStillNeeded) {
		if (this.inFlight != null && nowNanos - this.sentNanos >= this.settings.appendTimeoutNanos()) {
			failed(this.appendNumber, nowNanos, isStillNeeded);
		}
		if (this.inFlight != null || nowNanos < this.nextAppendNanos || !hasWork()) {
			return null;
		}
		this.markerRequested = false;
		this.inFlight = removeBatch();
		this.appendNumber++;
		this.sentNanos = nowNanos;
		this.nextAppendNanos = nowNanos + appendIntervalNanos(nowNanos);
		return new SubmissionEffect.AppendClaims(this.appendNumber, List.copyOf(this.inFlight.values()));
	}

	long nextWakeNanos() {
		if (this.inFlight != null) {
			return this.sentNanos + this.settings.appendTimeoutNanos();
		}
		return hasWork() ? this.nextAppendNanos : Long.MAX_VALUE;
	}

	private boolean hasWork() {
		return this.markerRequested || !this.queued.isEmpty();
	}

	private Map<KeyHash, Claim> removeBatch() {
		Map<KeyHash, Claim> batch = new LinkedHashMap<>();
		Iterator<Claim> claims = this.queued.values().iterator();
		while (claims.hasNext() && batch.size() < MAX_BATCH) {
			Claim claim = claims.next();
			batch.put(claim.key(), claim);
			claims.remove();
		}
		return batch;
	}

	private long appendIntervalNanos(long nowNanos) {
		decayRate(nowNanos);
		long rateIntervalNanos = (long) (INTERVAL_NANOS_PER_RATE * this.claimsPerSecond);
		return Math.max(this.settings.minAppendIntervalNanos(),
				Math.min(this.settings.maxAppendIntervalNanos(), rateIntervalNanos));
	}

	private void decayRate(long nowNanos) {
		this.claimsPerSecond *= Math.exp((this.rateUpdatedNanos - nowNanos) / RATE_WINDOW_NANOS);
		this.rateUpdatedNanos = nowNanos;
	}

}
