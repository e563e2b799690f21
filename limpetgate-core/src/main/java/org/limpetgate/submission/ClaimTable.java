package org.limpetgate.submission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.Incarnation;

/**
 * The fold of the claims stream: which incarnation holds which key.
 * <p>
 * The first claim of a key in offset order holds; of each later generation the first one
 * holds as well. Whether an old claim still counts depends only on the append times in
 * the stream, never on a local clock, so that every host that has read the same records
 * reaches the same state. Markers in a quiet stream let old claims expire.
 * <p>
 * The table also knows how far back the records without a gap reach. A claim that may
 * have been trimmed could have been the first, so a host may trust that its own claim is
 * the first only while {@link #isHistoryEnough} holds. Not thread-safe.
 */
public final class ClaimTable {

	private final SubmissionSettings settings;

	private final SubmissionRules rules;

	private final Map<KeyHash, Held> held = new LinkedHashMap<>();

	private boolean read;

	private long nextOffset;

	private boolean fromFirst;

	private long historySinceNanos;

	private long streamNanos;

	/**
	 * Creates an empty table.
	 * @param settings the settings, not null
	 */
	public ClaimTable(SubmissionSettings settings) {
		this(settings, new SubmissionRules());
	}

	ClaimTable(SubmissionSettings settings, SubmissionRules rules) {
		this.settings = settings;
		this.rules = rules;
	}

	/**
	 * Returns the offset from which to read next.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the number of claims held in memory.
	 * @return the number
	 */
	public int size() {
		return this.held.size();
	}

	/**
	 * Returns the first claim of the newest generation of a key.
	 * @param key the key, not null
	 * @return the claim, null if none is known
	 */
	public Claim find(KeyHash key) {
		Held found = this.held.get(key);
		return (found != null) ? found.claim : null;
	}

	/**
	 * Tests whether the records read reach back far enough to tell that a claim is the
	 * first one.
	 * @param nowNanos the present time
	 * @return true if no claim that could still be started can have been missed
	 */
	public boolean isHistoryEnough(long nowNanos) {
		return this.read
				&& (this.fromFirst || this.historySinceNanos + this.rules.historyNanos(this.settings) <= nowNanos);
	}

	/**
	 * Notes what a read told about the stream, before its records are applied.
	 * @param records the records in offset order, possibly empty
	 * @param firstRetainedOffset the smallest offset that the platform still keeps
	 * @param endOffset the offset that the next appended record will get
	 * @param nowNanos the present time
	 * @return true if records are missing between this read and the one before, or the
	 * stream became shorter
	 */
	public boolean beginRead(List<ClaimRecord> records, long firstRetainedOffset, long endOffset, long nowNanos) {
		boolean shorter = endOffset < this.nextOffset;
		long first = shorter ? firstRetainedOffset : Math.max(this.nextOffset, firstRetainedOffset);
		if (!records.isEmpty()) {
			first = shorter ? records.get(0).offset() : Math.max(this.nextOffset, records.get(0).offset());
		}
		boolean gap = shorter || first > this.nextOffset;
		if (!this.read || gap) {
			this.fromFirst = first == 0 && !shorter;
			// Without a record, all that is known is that trimmed ones are older than
			// now.
			this.historySinceNanos = records.isEmpty() ? nowNanos : records.get(0).appendTimeNanos();
			this.nextOffset = first;
		}
		boolean missed = gap && this.read;
		this.read = true;
		return missed;
	}

	/**
	 * Applies a record. One that has been applied before has no effect.
	 * @param record the record, not null
	 * @return true if it was new
	 */
	public boolean apply(ClaimRecord record) {
		if (record.offset() < this.nextOffset) {
			return false;
		}
		this.nextOffset = record.offset() + 1;
		this.streamNanos = Math.max(this.streamNanos, record.appendTimeNanos());
		expire();
		record.claims().forEach(this::apply);
		return true;
	}

	private void apply(Claim claim) {
		// A host that breaks the limit on expiry must not extend how long claims matter.
		if (claim.expiryNanos() > this.streamNanos + this.settings.maxExpiryAheadNanos() + this.settings.skewNanos()) {
			return;
		}
		Held present = this.held.get(claim.key());
		if (present == null) {
			this.held.put(claim.key(), new Held(claim, this.streamNanos));
		}
		else if (claim.generation() > present.claim.generation()
				&& claim.fingerprint() == present.claim.fingerprint()) {
			present.claim = claim;
		}
	}

	// The limit on expiry makes the horizon longer than the expiry plus the skew for
	// every claim.
	private void expire() {
		Iterator<Held> oldestFirst = this.held.values().iterator();
		while (oldestFirst.hasNext()
				&& oldestFirst.next().appendTimeNanos + this.settings.horizonNanos() < this.streamNanos) {
			oldestFirst.remove();
		}
	}

	/**
	 * Returns how far the platform's clock had come at the newest record.
	 * @return the time in nanoseconds since the Unix epoch, 0 if no record was read
	 */
	public long streamNanos() {
		return this.streamNanos;
	}

	boolean isHeldBy(KeyHash key, Incarnation holder, int generation, long fingerprint) {
		Claim claim = find(key);
		return claim != null && claim.holder().equals(holder) && claim.generation() == generation
				&& claim.fingerprint() == fingerprint;
	}

	private static final class Held {

		private Claim claim;

		private final long appendTimeNanos;

		Held(Claim claim, long appendTimeNanos) {
			this.claim = claim;
			this.appendTimeNanos = appendTimeNanos;
		}

	}

}
