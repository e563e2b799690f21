package org.limpetgate.submission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.Incarnation;

/**
 * The holder of each key, computed by replaying the claims stream.
 * <p>
 * The first claim of a key in offset order wins, and so does the first claim of each
 * later generation. Claims expire by the append times in the stream, never by a local
 * clock, so that all hosts that have read the same records have the same state. Markers
 * in an idle stream let old claims expire.
 * <p>
 * The table also tracks how far back the records reach without a gap. A trimmed record
 * may have contained the first claim of a key, so a host may rely on its own claim being
 * the first only while {@link #isHistorySufficient} is true. Not thread-safe.
 */
public final class ClaimTable {

	private final SubmissionSettings settings;

	private final SubmissionRules rules;

	private final Map<KeyHash, StoredClaim> claimsByKey = new LinkedHashMap<>();

	private boolean firstReadDone;

	private long nextOffset;

	private boolean readFromStart;

	private long historyStartNanos;

	private long latestAppendNanos;

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
	 * Returns the offset at which the next read starts.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the number of claims in memory.
	 * @return the number
	 */
	public int size() {
		return this.claimsByKey.size();
	}

	/**
	 * Returns the first claim of the newest generation of a key.
	 * @param key the key, not null
	 * @return the claim, null if none is known
	 */
	public Claim find(KeyHash key) {
		StoredClaim stored = this.claimsByKey.get(key);
		return (stored != null) ? stored.claim : null;
	}

	/**
	 * Tests whether the records read so far reach back far enough to determine which
	 * claim of a key is the first.
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @return true if no claim on a key whose job may still start can have been missed
	 */
	public boolean isHistorySufficient(long nowNanos) {
		return this.firstReadDone
				&& (this.readFromStart || this.historyStartNanos + this.rules.historyNanos(this.settings) <= nowNanos);
	}

	/**
	 * Updates the position in the stream and the extent of the history after a read,
	 * before its records are applied.
	 * @param records the records in offset order, possibly empty
	 * @param firstRetainedOffset the lowest offset that the platform still retains
	 * @param endOffset the offset of the next record to be appended
	 * @param nowNanos the current time, in nanoseconds since the Unix epoch
	 * @return true if records are missing between the previous read and this one, or the
	 * stream has become shorter
	 */
	public boolean beginRead(List<ClaimRecord> records, long firstRetainedOffset, long endOffset, long nowNanos) {
		boolean streamShrank = endOffset < this.nextOffset;
		long firstOffset = streamShrank ? firstRetainedOffset : Math.max(this.nextOffset, firstRetainedOffset);
		if (!records.isEmpty()) {
			firstOffset = streamShrank ? records.get(0).offset() : Math.max(this.nextOffset, records.get(0).offset());
		}
		boolean gap = streamShrank || firstOffset > this.nextOffset;
		if (!this.firstReadDone || gap) {
			this.readFromStart = firstOffset == 0 && !streamShrank;
			// Without a record, the trimmed records are only known to be older than
			// the current time.
			this.historyStartNanos = records.isEmpty() ? nowNanos : records.get(0).appendTimeNanos();
			this.nextOffset = firstOffset;
		}
		boolean missedRecords = gap && this.firstReadDone;
		this.firstReadDone = true;
		return missedRecords;
	}

	/**
	 * Applies a record. A record that was already applied has no effect.
	 * @param record the record, not null
	 * @return true if it was new
	 */
	public boolean apply(ClaimRecord record) {
		if (record.offset() < this.nextOffset) {
			return false;
		}
		this.nextOffset = record.offset() + 1;
		this.latestAppendNanos = Math.max(this.latestAppendNanos, record.appendTimeNanos());
		expire();
		record.claims().forEach(this::apply);
		return true;
	}

	private void apply(Claim claim) {
		// Claims beyond the expiry limit are ignored, so that a faulty host cannot
		// extend the time for which claims must be retained.
		if (claim.expiryNanos() > this.latestAppendNanos + this.settings.maxExpiryAheadNanos()
				+ this.settings.skewNanos()) {
			return;
		}
		StoredClaim existing = this.claimsByKey.get(claim.key());
		if (existing == null) {
			this.claimsByKey.put(claim.key(), new StoredClaim(claim, this.latestAppendNanos));
		}
		else if (claim.generation() > existing.claim.generation()
				&& claim.fingerprint() == existing.claim.fingerprint()) {
			existing.claim = claim;
		}
	}

	// Safe because the expiry limit ensures that the retention exceeds the expiry plus
	// the skew of every claim.
	private void expire() {
		Iterator<StoredClaim> oldestFirst = this.claimsByKey.values().iterator();
		while (oldestFirst.hasNext()
				&& oldestFirst.next().appendTimeNanos + this.settings.claimRetentionNanos() < this.latestAppendNanos) {
			oldestFirst.remove();
		}
	}

	/**
	 * Returns the latest append time of the records applied so far, by the platform's
	 * clock.
	 * @return the time in nanoseconds since the Unix epoch, 0 before the first record
	 */
	public long latestAppendNanos() {
		return this.latestAppendNanos;
	}

	boolean isHeldBy(KeyHash key, Incarnation holder, int generation, long fingerprint) {
		Claim claim = find(key);
		return claim != null && claim.holder().equals(holder) && claim.generation() == generation
				&& claim.fingerprint() == fingerprint;
	}

	private static final class StoredClaim {

		private Claim claim;

		private final long appendTimeNanos;

		StoredClaim(Claim claim, long appendTimeNanos) {
			this.claim = claim;
			this.appendTimeNanos = appendTimeNanos;
		}

	}

}
